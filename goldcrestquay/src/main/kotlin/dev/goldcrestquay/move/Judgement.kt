package dev.goldcrestquay.move

import dev.goldcrestquay.contract.EvidenceRule
import kotlin.math.exp
import kotlin.math.sqrt

/** What the evidence says about a new version. */
public sealed interface Judgement {
    /** There are too few calls to tell. */
    public data object TooFew : Judgement

    /** Nothing speaks against the version. */
    public data object Healthy : Judgement

    /** The version fails or is slow. */
    public data class Faulty(
        val reason: String,
    ) : Judgement
}

/**
 * Compares the counters of the new version's targets with those of the old version's, route by route and in sum.
 *
 * One target that differs from its own version's other targets does not speak for the version: the worst target is left out
 * where a version has at least three.
 */
public fun judge(
    rule: EvidenceRule,
    old: Map<EvidenceKey, EvidenceCount>,
    new: Map<EvidenceKey, EvidenceCount>,
): Judgement {
    val total = new.values.fold(EvidenceCount(), EvidenceCount::plus)
    val routes = new.keys.map { it.route }.distinct()
    val faults =
        (listOf<Int?>(null) + routes).firstNotNullOfOrNull { route ->
            val newOfRoute = new.filterKeys { route == null || it.route == route }
            val oldOfRoute = old.filterKeys { route == null || it.route == route }
            errorFault(rule, oldOfRoute, newOfRoute, route) ?: slowFault(rule, oldOfRoute, newOfRoute, route)
        }
    return when {
        faults != null -> faults
        total.calls < rule.minimumCalls -> Judgement.TooFew
        else -> Judgement.Healthy
    }
}

private fun errorFault(
    rule: EvidenceRule,
    old: Map<EvidenceKey, EvidenceCount>,
    new: Map<EvidenceKey, EvidenceCount>,
    route: Int?,
): Judgement.Faulty? {
    val newSum = new.withoutWorst { it.failures.toDouble() / it.calls }
    val oldSum = old.withoutWorst { it.failures.toDouble() / it.calls }
    if (newSum.failures < MINIMUM_FAILURES) return null
    val oldShare = (oldSum.failures + 1.0) / (oldSum.calls + PRIOR_CALLS)
    val tolerated = newSum.calls * (oldShare + rule.errorPercent / PERCENT)
    if (poissonTail(newSum.failures, tolerated) > ERROR_CHANCE) return null
    return Judgement.Faulty("${newSum.failures} of ${newSum.calls} calls failed${route.words()}")
}

private fun slowFault(
    rule: EvidenceRule,
    old: Map<EvidenceKey, EvidenceCount>,
    new: Map<EvidenceKey, EvidenceCount>,
    route: Int?,
): Judgement.Faulty? {
    val newSum = new.withoutWorst { it.mean }
    val oldSum = old.withoutWorst { it.mean }
    if (newSum.calls < rule.minimumCalls || oldSum.calls < rule.minimumCalls) return null
    val tolerated = oldSum.mean * rule.slowFactor
    val error = sqrt(newSum.varianceOfMean + oldSum.varianceOfMean * rule.slowFactor * rule.slowFactor)
    if (newSum.mean - tolerated < SLOW_DEVIATIONS * error) return null
    return Judgement.Faulty("mean latency %.1f ms against %.1f ms%s".format(newSum.mean, oldSum.mean, route.words()))
}

private fun Int?.words(): String = if (this == null) "" else " on route $this"

private val EvidenceCount.mean: Double get() = if (calls == 0L) 0.0 else totalMilliseconds / calls

private val EvidenceCount.varianceOfMean: Double
    get() = if (calls < 2) Double.MAX_VALUE else (totalSquares / calls - mean * mean).coerceAtLeast(0.0) / calls

private fun Map<EvidenceKey, EvidenceCount>.withoutWorst(badness: (EvidenceCount) -> Double): EvidenceCount {
    val byTarget = entries.groupBy({ it.key.target }, { it.value }).mapValues { (_, counts) -> counts.reduce(EvidenceCount::plus) }
    val counts = byTarget.values.filter { it.calls > 0 }
    val kept = if (counts.size >= TARGETS_TO_LEAVE_ONE_OUT) counts.sortedBy(badness).dropLast(1) else counts
    return kept.fold(EvidenceCount(), EvidenceCount::plus)
}

/** The chance of at least [count] events where [mean] are expected. */
internal fun poissonTail(
    count: Long,
    mean: Double,
): Double {
    var term = exp(-mean)
    var below = 0.0
    for (number in 0 until count) {
        below += term
        term *= mean / (number + 1)
    }
    return (1.0 - below).coerceAtLeast(0.0)
}

private const val MINIMUM_FAILURES = 3L
private const val PRIOR_CALLS = 1000.0
private const val PERCENT = 100.0
private const val ERROR_CHANCE = 1e-4
private const val SLOW_DEVIATIONS = 4.0
private const val TARGETS_TO_LEAVE_ONE_OUT = 3
