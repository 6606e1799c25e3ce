package dev.goldcrestquay.move

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.StoreLink
import dev.goldcrestquay.link.StoreResult
import dev.goldcrestquay.machine.FleetEvent
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.machine.VerdictRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Rolls out the ordered version of each service on the platform, or rolls it back; runs on the leader.
 *
 * A verdict is written to the store only if no other verdict was written since the last read, so when two leaders decide at the same
 * time, the first write wins and the other leader adopts it. The moves of the project's own interface are controlled by [MoveController].
 *
 * @param verdictsEndOffset the offset up to which the verdicts in the store were read.
 * @param refreshVerdicts reads the verdicts added since then; returns whether that succeeded.
 */
public class RolloutController(
    private val state: SharedState,
    private val store: StoreLink,
    private val verdictsEndOffset: () -> Long,
    private val refreshVerdicts: suspend () -> Boolean,
    private val clock: Clock,
    private val report: (FleetEvent) -> Unit,
) {
    private class Progress(
        val orderOffset: Long,
        val firstSeen: Duration,
        var phase: RolloutPhase,
        var phaseSince: Duration,
    )

    private val progress = HashMap<String, Progress>()

    /** Takes the next step of every rollout, given the [counts] of all entry VMs. */
    public suspend fun step(
        counts: List<VersionCount>,
        memberCount: Int,
    ) {
        for ((service, rollout) in state.rollouts()) {
            if (state.verdict(service, rollout.order.targetVersion)?.isFinal == true) continue
            advance(service, rollout, counts.filter { it.service == service }, memberCount)
        }
        state.setRollouts(state.rollouts().map { (service, rollout) -> rollout.copy(phase = progress[service]?.phase ?: rollout.phase) })
    }

    private suspend fun advance(
        service: String,
        rollout: RolloutState,
        counts: List<VersionCount>,
        memberCount: Int,
    ) {
        val now = clock()
        val current =
            progress[service]?.takeIf { it.orderOffset == rollout.orderOffset }
                ?: Progress(rollout.orderOffset, now, rollout.phase, now).also { progress[service] = it }
        val isAnnounced = state.verdict(service, rollout.order.targetVersion) != null
        if (!isAnnounced) writeOutcome(service, rollout, RolloutOutcome.RUNNING)
        if (current.phase == RolloutPhase.ROLLED_BACK) {
            writeOutcome(service, rollout, RolloutOutcome.ROLLED_BACK)
            return
        }
        val view =
            RolloutView(
                order = rollout.order,
                phase = current.phase,
                timeSinceOrder = now - current.firstSeen,
                timeInPhase = now - current.phaseSince,
                hasTargets = state.targets().any { it.target.service == service && it.target.version == rollout.order.targetVersion },
                counts = counts,
                memberCount = memberCount,
            )
        val step = judgeRollout(view) ?: return
        when (step.phase) {
            RolloutPhase.COMPLETED -> if (!writeOutcome(service, rollout, RolloutOutcome.COMPLETED)) return
            RolloutPhase.ROLLED_BACK -> {
                // Stops traffic before the write; the next step retries the write if it fails.
                current.phase = RolloutPhase.ROLLED_BACK
                if (!writeOutcome(service, rollout, RolloutOutcome.ROLLED_BACK)) return
            }
            else -> Unit
        }
        current.phase = step.phase
        current.phaseSince = now
        report(FleetEvent.RolloutStep(service, rollout.order.targetVersion, step.phase.name, step.reason))
    }

    private suspend fun writeOutcome(
        service: String,
        rollout: RolloutState,
        outcome: RolloutOutcome,
    ): Boolean {
        if (!refreshVerdicts()) return false
        val written = state.verdict(service, rollout.order.targetVersion)?.outcome
        if (written == outcome) return true
        if (state.verdict(service, rollout.order.targetVersion)?.isFinal == true) return false
        val verdict = RolloutVerdict(rollout.order.targetVersion, outcome)
        val result = store.writeVerdict(service, verdict, verdictsEndOffset())
        if (result is StoreResult.Done) {
            state.apply(VerdictRecord("rollout/$service", result.value, service, verdict))
            return true
        }
        report(FleetEvent.RolloutStep(service, rollout.order.targetVersion, outcome.name, "verdict not written: $result"))
        return false
    }
}

/**
 * The input of a rollout decision.
 *
 * @property timeSinceOrder the time since this leader first read the order.
 * @property timeInPhase how long the rollout has been in [phase].
 * @property hasTargets whether any target runs the new version.
 * @property counts the answers of all versions of the service.
 */
public data class RolloutView(
    val order: RolloutOrder,
    val phase: RolloutPhase,
    val timeSinceOrder: Duration,
    val timeInPhase: Duration,
    val hasTargets: Boolean,
    val counts: List<VersionCount>,
    val memberCount: Int,
)

/** The phase that a rollout is to enter, and the reason for it. */
public data class RolloutDecision(
    val phase: RolloutPhase,
    val reason: String,
)

/** The number of answers that the new version needs before it gets all traffic. */
private const val MINIMUM_TRIAL_ANSWERS = 25L

/** The share of the order's duration after which a healthy version gets all traffic; leaves time to drain the old targets. */
private const val EARLIEST_SHIFT = 0.62

/** The share of the order's duration after which a rollout that has not shifted traffic is rolled back. */
private const val LATEST_SHIFT = 0.85

/** The time from the shift until the old targets may stop: the longest request and the exchange between entry VMs. */
private val SHIFTED_HOLD_TIME = 2200.milliseconds

/** A version is rolled back when it has more than this many failures beyond those that the old version's failure rate explains. */
private const val TOLERATED_EXCESS_FAILURES = 6.0

/** A version is rolled back when, on a route, its successful answers take more than this many times as long as the old version's. */
private const val TOLERATED_LATENCY_RATIO = 2.5

/** The number of successful answers that each version needs on a route before latencies are compared. */
private const val MINIMUM_COMPARED_ANSWERS = 8L

/** Decides the next step of a rollout; null to wait. */
public fun judgeRollout(view: RolloutView): RolloutDecision? {
    val newCounts = view.counts.filter { it.version == view.order.targetVersion }
    val oldCounts = view.counts.filter { it.version != view.order.targetVersion }
    rollbackReason(newCounts, oldCounts)?.let { return RolloutDecision(RolloutPhase.ROLLED_BACK, it) }
    val elapsedShare = view.timeSinceOrder / view.order.duration
    val answered = newCounts.sumOf { it.answered }
    return when {
        view.phase == RolloutPhase.SHIFTED && view.timeInPhase > SHIFTED_HOLD_TIME ->
            RolloutDecision(RolloutPhase.COMPLETED, "all traffic shifted, $answered answers")
        view.phase == RolloutPhase.SHIFTED -> null
        elapsedShare > EARLIEST_SHIFT && answered >= MINIMUM_TRIAL_ANSWERS && view.hasTargets ->
            RolloutDecision(RolloutPhase.SHIFTED, "$answered answers in the trial")
        elapsedShare > LATEST_SHIFT -> RolloutDecision(RolloutPhase.ROLLED_BACK, "too late to shift traffic, $answered answers")
        else -> null
    }
}

private fun rollbackReason(
    newCounts: List<VersionCount>,
    oldCounts: List<VersionCount>,
): String? {
    val answered = newCounts.sumOf { it.answered }
    val failed = newCounts.sumOf { it.failed }
    val oldAnswered = oldCounts.sumOf { it.answered }
    val oldFailureRate = if (oldAnswered == 0L) 0.0 else oldCounts.sumOf { it.failed }.toDouble() / oldAnswered
    if (failed > TOLERATED_EXCESS_FAILURES + OLD_FAILURE_RATE_FACTOR * oldFailureRate * answered) {
        return "$failed of $answered answers failed; the old version's failure rate is $oldFailureRate"
    }
    for (newCount in newCounts.filter { it.succeeded >= MINIMUM_COMPARED_ANSWERS }) {
        val oldCount =
            oldCounts
                .filter { it.route == newCount.route }
                .reduceOrNull(VersionCount::plus)
                ?.takeIf { it.succeeded >= MINIMUM_COMPARED_ANSWERS }
                ?: continue
        val latencyRatio = (newCount.milliseconds / newCount.succeeded) / (oldCount.milliseconds / oldCount.succeeded)
        if (latencyRatio > TOLERATED_LATENCY_RATIO) return "latency on ${newCount.route} is $latencyRatio times the old version's"
    }
    return null
}

/** Allows twice the old version's failure rate: faults that hit both versions do not count against the new one, and small samples vary. */
private const val OLD_FAILURE_RATE_FACTOR = 2.0
