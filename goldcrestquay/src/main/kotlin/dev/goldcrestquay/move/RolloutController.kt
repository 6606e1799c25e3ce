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
 * Moves each service's traffic to the version ordered, or takes the move back; runs on the entry VM that reads the store.
 *
 * Every verdict is written to the store under the condition that nothing was written since the last look, so of two deciders
 * the first wins and the other finds its verdict.
 */
public class RolloutController(
    private val state: SharedState,
    private val store: StoreLink,
    private val verdictsEnd: () -> Long,
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

    /** Takes the next step of every move, given what all entry VMs saw. */
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
        val known =
            progress[service]?.takeIf { it.orderOffset == rollout.orderOffset }
                ?: Progress(rollout.orderOffset, now, rollout.phase, now).also { progress[service] = it }
        val announced = state.verdict(service, rollout.order.targetVersion) != null
        if (!announced) write(service, rollout, RolloutOutcome.RUNNING)
        if (known.phase == RolloutPhase.ROLLED_BACK) {
            write(service, rollout, RolloutOutcome.ROLLED_BACK)
            return
        }
        val view =
            RolloutView(
                order = rollout.order,
                phase = known.phase,
                sinceOrder = now - known.firstSeen,
                sincePhase = now - known.phaseSince,
                hasTargets = state.targets().any { it.target.service == service && it.target.version == rollout.order.targetVersion },
                counts = counts,
                memberCount = memberCount,
            )
        val step = judgeRollout(view) ?: return
        when (step.phase) {
            RolloutPhase.COMPLETED -> if (!write(service, rollout, RolloutOutcome.COMPLETED)) return
            RolloutPhase.ROLLED_BACK -> {
                // Traffic stops at once; the verdict is written again on the next step if the store did not take it.
                known.phase = RolloutPhase.ROLLED_BACK
                if (!write(service, rollout, RolloutOutcome.ROLLED_BACK)) return
            }
            else -> Unit
        }
        known.phase = step.phase
        known.phaseSince = now
        report(FleetEvent.RolloutStep(service, rollout.order.targetVersion, step.phase.name, step.reason))
    }

    private suspend fun write(
        service: String,
        rollout: RolloutState,
        outcome: RolloutOutcome,
    ): Boolean {
        if (!refreshVerdicts()) return false
        val written = state.verdict(service, rollout.order.targetVersion)?.outcome
        if (written == outcome) return true
        if (state.verdict(service, rollout.order.targetVersion)?.isFinal == true) return false
        val verdict = RolloutVerdict(rollout.order.targetVersion, outcome)
        val result = store.writeVerdict(service, verdict, verdictsEnd())
        if (result is StoreResult.Done) {
            state.apply(VerdictRecord("rollout/$service", result.value, service, verdict))
            return true
        }
        report(FleetEvent.RolloutStep(service, rollout.order.targetVersion, outcome.name, "not written: $result"))
        return false
    }
}

/** What a step of a move is decided by. */
public data class RolloutView(
    val order: RolloutOrder,
    val phase: RolloutPhase,
    val sinceOrder: Duration,
    val sincePhase: Duration,
    val hasTargets: Boolean,
    val counts: List<VersionCount>,
    val memberCount: Int,
)

/** The step to take and why. */
public data class RolloutDecision(
    val phase: RolloutPhase,
    val reason: String,
)

/** The least answers of the new version before it may get all traffic. */
private const val TRIAL_ANSWERS = 25L

/** The share of the order's time after which a good version gets all traffic; leaves time to drain the old targets. */
private const val SHIFT_AT = 0.62

/** The share of the order's time after which a move that has not shifted is taken back. */
private const val LATEST_SHIFT = 0.85

/** How long all traffic goes to the new version before the old targets may stop: the longest request, and the exchange. */
private val SHIFT_TIME = 2200.milliseconds

/** A version is bad when this many answers beyond what the old version's share explains were failures. */
private const val BAD_ANSWERS = 6.0

/** A version is bad when its good answers take this many times as long on a route. */
private const val BAD_SLOWNESS = 2.5

/** The least good answers of a route on each side to compare times. */
private const val COMPARED_ANSWERS = 8L

/** Decides the next step of a move, or null to wait. */
public fun judgeRollout(view: RolloutView): RolloutDecision? {
    val fresh = view.counts.filter { it.version == view.order.targetVersion }
    val old = view.counts.filter { it.version != view.order.targetVersion }
    badness(fresh, old)?.let { return RolloutDecision(RolloutPhase.ROLLED_BACK, it) }
    val progress = view.sinceOrder / view.order.duration
    val answered = fresh.sumOf { it.answered }
    return when {
        view.phase == RolloutPhase.SHIFTED && view.sincePhase > SHIFT_TIME ->
            RolloutDecision(RolloutPhase.COMPLETED, "all traffic moved, $answered answers")
        view.phase == RolloutPhase.SHIFTED -> null
        progress > SHIFT_AT && answered >= TRIAL_ANSWERS && view.hasTargets ->
            RolloutDecision(RolloutPhase.SHIFTED, "$answered answers on trial")
        progress > LATEST_SHIFT -> RolloutDecision(RolloutPhase.ROLLED_BACK, "no time left after $answered answers")
        else -> null
    }
}

private fun badness(
    fresh: List<VersionCount>,
    old: List<VersionCount>,
): String? {
    val answered = fresh.sumOf { it.answered }
    val failed = fresh.sumOf { it.failed }
    val oldAnswered = old.sumOf { it.answered }
    val usual = if (oldAnswered == 0L) 0.0 else old.sumOf { it.failed }.toDouble() / oldAnswered
    if (failed > BAD_ANSWERS + USUAL_MARGIN * usual * answered) return "$failed of $answered answers failed, usually $usual"
    for (route in fresh.filter { it.good >= COMPARED_ANSWERS }) {
        val before =
            old.filter { it.route == route.route }.reduceOrNull(VersionCount::plus)?.takeIf { it.good >= COMPARED_ANSWERS } ?: continue
        val slowness = (route.milliseconds / route.good) / (before.milliseconds / before.good)
        if (slowness > BAD_SLOWNESS) return "answers of ${route.route} take $slowness times as long"
    }
    return null
}

/** Failures that strike both versions alike do not speak against the new one; small samples scatter. */
private const val USUAL_MARGIN = 2.0
