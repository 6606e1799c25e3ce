package dev.goldcrestquay.routing

import kotlin.math.exp

/** Estimates how many calls other entry VMs hold at a target, from its last report and the report's age in milliseconds. */
internal class LoadEstimate(
    private val decayMilliseconds: Double,
) {
    private var reported = 0.0
    private var reportedAt = Double.NEGATIVE_INFINITY

    /** Takes in a report of [total] calls in flight while this entry VM held [own] of them. */
    fun report(
        now: Double,
        total: Int,
        own: Int,
    ) {
        reported = (total - own).coerceAtLeast(0).toDouble()
        reportedAt = now
    }

    /** How old the last report is, in milliseconds. */
    fun age(now: Double): Double = now - reportedAt

    /** The calls of other entry VMs, drawn towards [mean] as the report ages. */
    fun others(
        now: Double,
        mean: Double,
    ): Double {
        if (reportedAt == Double.NEGATIVE_INFINITY) return mean
        return mean + (reported - mean) * exp(-(now - reportedAt) / decayMilliseconds)
    }
}
