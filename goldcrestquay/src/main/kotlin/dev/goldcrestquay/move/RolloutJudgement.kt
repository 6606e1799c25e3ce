package dev.goldcrestquay.move

import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The input of a rollout decision.
 *
 * @property timeSinceOrder the time since the order reached this entry VM, whether it led then or not.
 * @property share the share of the service's requests that the new version gets.
 * @property timeInPhase how long the new version has had this [share].
 * @property hasTargets whether any target runs the new version.
 * @property counts the answers of all versions of the service.
 * @property countsSinceStep the answers since the new version's share last rose.
 * @property countsRecently the answers of a short time, not before the new version's share last rose.
 */
public data class RolloutView(
    val order: RolloutOrder,
    val phase: RolloutPhase,
    val timeSinceOrder: Duration,
    val timeInPhase: Duration,
    val hasTargets: Boolean,
    val counts: List<VersionCount>,
    val memberCount: Int,
    val share: Double = phase.share,
    val countsSinceStep: List<VersionCount> = counts,
    val countsRecently: List<VersionCount> = countsSinceStep,
)

/** The phase that a rollout is to enter, the reason for it, and the new version's share of the requests from then on. */
public data class RolloutDecision(
    val phase: RolloutPhase,
    val reason: String,
    val share: Double = phase.share,
)

/**
 * The new version's share of the requests between its trial and all traffic.
 *
 * A version that turns bad under load shows it here at an eighth of the cost.
 */
internal const val RAMP_SHARE: Double = 0.12

/** How long the new version has [RAMP_SHARE]: slow answers take two usual service times to show, and half a second to be reported. */
private val RAMP_TIME = 1300.milliseconds

/** The requests per second that a trial needs to gather its evidence in time. */
private const val TRIAL_REQUESTS_PER_SECOND = 5.0

/** The smallest share of a trial, for busy services. */
private const val MINIMUM_TRIAL_SHARE = 0.02

/** The largest share of a trial; at the low rates that need it, the requests are few. */
private const val MAXIMUM_TRIAL_SHARE = 0.11

/** The share of a trial for a service that gets [requestsPerSecond]. */
internal fun trialShare(requestsPerSecond: Double): Double =
    (TRIAL_REQUESTS_PER_SECOND / requestsPerSecond.coerceAtLeast(1.0)).coerceIn(MINIMUM_TRIAL_SHARE, MAXIMUM_TRIAL_SHARE)

/** The number of answers that the new version needs before it gets more than its trial's share. */
private const val MINIMUM_TRIAL_ANSWERS = 25L

/** The share of the order's duration after which a healthy version gets [RAMP_SHARE]; leaves time to drain the old targets. */
private const val EARLIEST_RAMP = 0.45

/** The share of the order's duration after which a rollout that is still in its trial is rolled back. */
private const val LATEST_RAMP = 0.75

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
    val (newCounts, oldCounts) = sumByRoute(view.counts).partition { it.version == view.order.targetVersion }
    val reason =
        rollbackReason(newCounts, oldCounts)
            ?: rollbackReason(view.newAmong(view.countsSinceStep), oldCounts)
            ?: manySlowAnswers(comparisons(view.newAmong(view.countsRecently), oldCounts))
    if (reason != null) return RolloutDecision(RolloutPhase.ROLLED_BACK, reason)
    val elapsedShare = view.timeSinceOrder / view.order.duration
    val answered = newCounts.sumOf { it.answered }
    val isRamping = view.share == RAMP_SHARE
    return when {
        view.phase == RolloutPhase.SHIFTED && view.timeInPhase > SHIFTED_HOLD_TIME ->
            RolloutDecision(RolloutPhase.COMPLETED, "all traffic shifted, $answered answers")
        view.phase == RolloutPhase.SHIFTED -> null
        isRamping && view.timeInPhase > RAMP_TIME -> RolloutDecision(RolloutPhase.SHIFTED, "$answered answers up to a share of $RAMP_SHARE")
        isRamping -> null
        elapsedShare > EARLIEST_RAMP && answered >= MINIMUM_TRIAL_ANSWERS && view.hasTargets ->
            RolloutDecision(RolloutPhase.TRIAL, "$answered answers in the trial", RAMP_SHARE)
        elapsedShare > LATEST_RAMP -> RolloutDecision(RolloutPhase.ROLLED_BACK, "too late to shift traffic, $answered answers")
        else -> null
    }
}

private fun RolloutView.newAmong(counts: List<VersionCount>): List<VersionCount> = counts.filter { it.version == order.targetVersion }

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
    val comparisons = comparisons(newCounts, oldCounts)
    return comparisons.firstNotNullOfOrNull { it.slowerMean() } ?: manySlowAnswers(comparisons)
}

private fun comparisons(
    newCounts: List<VersionCount>,
    oldCounts: List<VersionCount>,
): List<RouteComparison> =
    newCounts.mapNotNull { newCount ->
        val oldCount = oldCounts.filter { it.route == newCount.route }.reduceOrNull(VersionCount::plus)
        oldCount?.takeIf { it.succeeded >= MINIMUM_COMPARED_ANSWERS }?.let { RouteComparison(newCount, it) }
    }

/** The answers of the new version on one route, and those of all other versions on it. */
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
private const val SLOW_ANSWER_FACTOR = 2.0

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
