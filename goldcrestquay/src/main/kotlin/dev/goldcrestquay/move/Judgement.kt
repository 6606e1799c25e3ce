package dev.goldcrestquay.move

import dev.goldcrestquay.contract.EvidenceRule
import kotlin.math.exp
import kotlin.math.sqrt

/** The assessment of a new version. */
public sealed interface Judgement {
    /** There are too few calls for an assessment. */
    public data object InsufficientCalls : Judgement

    /** The version shows neither more errors nor more latency than its rule tolerates. */
    public data object Healthy : Judgement

    /** The version fails too often or is too slow. */
    public data class Faulty(
        val reason: String,
    ) : Judgement
}

/**
 * Compares the counters of the new version's targets with those of the old version's, over all routes and for each route.
 *
 * Where a version has at least three targets, its worst one is left out, since a single bad machine says nothing about the version.
 */
public fun judge(
    rule: EvidenceRule,
    old: Map<EvidenceKey, EvidenceCount>,
    new: Map<EvidenceKey, EvidenceCount>,
): Judgement {
    val total = new.values.fold(EvidenceCount(), EvidenceCount::plus)
    val routes = new.keys.map { it.route }.distinct()
    val fault =
        (listOf<Int?>(null) + routes).firstNotNullOfOrNull { route ->
            val newOfRoute = new.filterKeys { route == null || it.route == route }
            val oldOfRoute = old.filterKeys { route == null || it.route == route }
            errorFault(rule, oldOfRoute, newOfRoute, route) ?: latencyFault(rule, oldOfRoute, newOfRoute, route)
        }
    return when {
        fault != null -> fault
        total.calls < rule.minimumCalls -> Judgement.InsufficientCalls
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
    val oldErrorRate = (oldSum.failures + 1.0) / (oldSum.calls + PRIOR_CALLS)
    val toleratedFailures = newSum.calls * (oldErrorRate + rule.errorPercent / PERCENT)
    if (poissonTail(newSum.failures, toleratedFailures) > ERROR_SIGNIFICANCE) return null
    return Judgement.Faulty("${newSum.failures} of ${newSum.calls} calls failed${route.routeSuffix()}")
}

private fun latencyFault(
    rule: EvidenceRule,
    old: Map<EvidenceKey, EvidenceCount>,
    new: Map<EvidenceKey, EvidenceCount>,
    route: Int?,
): Judgement.Faulty? {
    val newSum = new.withoutWorst { it.mean }
    val oldSum = old.withoutWorst { it.mean }
    if (newSum.calls < rule.minimumCalls || oldSum.calls < rule.minimumCalls) return null
    val toleratedMean = oldSum.mean * rule.slowFactor
    val standardError = sqrt(newSum.varianceOfMean + oldSum.varianceOfMean * rule.slowFactor * rule.slowFactor)
    if (newSum.mean - toleratedMean < LATENCY_STANDARD_ERRORS * standardError) return null
    return Judgement.Faulty("mean latency %.1f ms against %.1f ms%s".format(newSum.mean, oldSum.mean, route.routeSuffix()))
}

private fun Int?.routeSuffix(): String = if (this == null) "" else " on route $this"

private val EvidenceCount.mean: Double get() = if (calls == 0L) 0.0 else totalMilliseconds / calls

private val EvidenceCount.varianceOfMean: Double
    get() = if (calls < 2) Double.MAX_VALUE else (totalSquares / calls - mean * mean).coerceAtLeast(0.0) / calls

/** The sum over the targets, without the one of the highest [score] where there are enough targets. */
private fun Map<EvidenceKey, EvidenceCount>.withoutWorst(score: (EvidenceCount) -> Double): EvidenceCount {
    val byTarget = entries.groupBy({ it.key.target }, { it.value }).mapValues { (_, counts) -> counts.reduce(EvidenceCount::plus) }
    val counts = byTarget.values.filter { it.calls > 0 }
    val kept = if (counts.size >= MINIMUM_TARGETS_TO_DROP_WORST) counts.sortedBy(score).dropLast(1) else counts
    return kept.fold(EvidenceCount(), EvidenceCount::plus)
}

/** The probability that a Poisson variable with mean [mean] is at least [count]. */
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

/** The number of failures below which a version never counts as failing. */
private const val MINIMUM_FAILURES = 3L

/** The old version's error rate is estimated as if it had one failure in this many more calls, so that it is never zero. */
private const val PRIOR_CALLS = 1000.0

private const val PERCENT = 100.0

/** The probability of as many failures by chance below which the version counts as failing. */
private const val ERROR_SIGNIFICANCE = 1e-4

/** The number of standard errors by which the mean latency must exceed the tolerated one. */
private const val LATENCY_STANDARD_ERRORS = 4.0

/** The number of targets of a version from which its worst target is left out. */
private const val MINIMUM_TARGETS_TO_DROP_WORST = 3
