package dev.goldcrestquay.move

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.StoreLink
import dev.goldcrestquay.link.StoreResult
import dev.goldcrestquay.machine.FleetEvent
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.machine.VerdictRecord
import kotlin.math.sqrt
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
                ?: Progress(rollout.orderOffset, rollout.phase, now).also { progress[service] = it }
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
                timeSinceOrder = state.orderAge(service),
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
 * @property timeSinceOrder the time since the order reached this entry VM, whether it led then or not.
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

/** A version is rolled back when, on a route, its mean latency is more than this many times the old version's. */
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
    val comparisons =
        newCounts.mapNotNull { newCount ->
            val oldCount = oldCounts.filter { it.route == newCount.route }.reduceOrNull(VersionCount::plus)
            oldCount?.takeIf { it.succeeded >= MINIMUM_COMPARED_ANSWERS }?.let { RouteComparison(newCount, it) }
        }
    return comparisons.firstNotNullOfOrNull { it.slowerMean() } ?: manySlowAnswers(comparisons)
}

/** The answers of the new version that one entry VM counted on one route, and those of all other versions and entry VMs on it. */
private class RouteComparison(
    private val newCount: VersionCount,
    private val oldCount: VersionCount,
) {
    private val oldMean = checkNotNull(oldCount.meanLatency)

    val observed: Long get() = newCount.observed
    val slow: Long get() = newCount.slowerThan(oldMean * SLOW_ANSWER_FACTOR)

    /** The number of slow answers if the new version were like the old one. */
    val expectedSlow: Double
        get() = oldCount.slowerThan(oldMean * SLOW_ANSWER_FACTOR).toDouble() / oldCount.observed.coerceAtLeast(1) * newCount.observed

    /** Says that the new version's mean latency is too long, or returns null. */
    fun slowerMean(): String? {
        val ratio = (newCount.meanLatency ?: return null) / oldMean
        if (newCount.succeeded < MINIMUM_COMPARED_ANSWERS || ratio <= TOLERATED_LATENCY_RATIO) return null
        return "latency on ${newCount.route} is $ratio times the old version's"
    }
}

/**
 * Says that too many answers of the new version are slow, or returns null.
 *
 * A version that slows only a part of its requests shows this before it shows in the mean, and requests that time out or are still in
 * flight count too. The tolerance grows with the spread of the number expected by chance.
 */
private fun manySlowAnswers(comparisons: List<RouteComparison>): String? {
    val observed = comparisons.sumOf { it.observed }
    val slow = comparisons.sumOf { it.slow }
    val expected = comparisons.sumOf { it.expectedSlow }
    val tolerated = expected * TOLERATED_SLOW_RATIO
    if (slow <= tolerated + TOLERATED_DEVIATIONS * sqrt(tolerated) + TOLERATED_EXCESS_SLOW) return null
    if (slow - expected <= TOLERATED_SLOW_SHARE * observed) return null
    return "$slow of $observed answers are slow, where ${expected.toInt()} would be like the old version's"
}

/** An answer is slow when it takes more than this many times as long as the old version's mean on the route. */
private const val SLOW_ANSWER_FACTOR = 2.5

/** How many times as many slow answers as the old version's a new one may have: its fewer targets leave less choice. */
private const val TOLERATED_SLOW_RATIO = 1.5

/** How many standard deviations of the tolerated number of slow answers are put down to chance. */
private const val TOLERATED_DEVIATIONS = 2.5

/** The number of slow answers beyond that which is put down to chance, while few answers are known. */
private const val TOLERATED_EXCESS_SLOW = 4.0

/** The share of additional slow answers that is no reason to roll back. */
private const val TOLERATED_SLOW_SHARE = 0.15

/** Allows twice the old version's failure rate: faults that hit both versions do not count against the new one, and small samples vary. */
private const val OLD_FAILURE_RATE_FACTOR = 2.0
