package dev.goldcrestquay.routing

import kotlin.math.exp

/**
 * Estimates how many calls other entry VMs hold at a target, from its last report and the report's age in milliseconds.
 *
 * A report counts as far as it follows this entry VM's own calls: the slope of reported calls over own calls is about one for a
 * fresh and true report, and about zero for one that is late or made up.
 */
internal class LoadEstimate(
    private val decayMilliseconds: Double,
) {
    private var reported = 0.0
    private var reportedAt = Double.NEGATIVE_INFINITY
    private val fit = SlopeEstimate()

    /** How far the target's reports are believed, from 0 to 1. */
    val trust: Double get() = ((fit.slope - DOUBTFUL_SLOPE) / (1 - DOUBTFUL_SLOPE)).coerceIn(0.0, 1.0)

    /** The calls of other entry VMs by the last report; below zero when the report missed own calls. */
    val lastReported: Double get() = reported

    /** Takes in a report of [total] calls in flight while this entry VM held [own] of them. */
    fun report(
        now: Double,
        total: Int,
        own: Int,
    ) {
        fit.add(own.toDouble(), total.toDouble())
        reported = (total - own).toDouble()
        reportedAt = now
    }

    /** How old the last report is, in milliseconds. */
    fun age(now: Double): Double = now - reportedAt

    /** The calls of other entry VMs, drawn towards [mean] as the report ages and where it is not believed. */
    fun others(
        now: Double,
        mean: Double,
    ): Double {
        if (reportedAt == Double.NEGATIVE_INFINITY) return mean
        val weight = trust * exp(-(now - reportedAt) / decayMilliseconds)
        return (mean + (reported - mean) * weight).coerceAtLeast(0.0)
    }

    private companion object {
        const val DOUBTFUL_SLOPE = 0.3
    }
}

/** The slope of one series over another, with older pairs weighing less. */
internal class SlopeEstimate {
    private var meanX = 0.0
    private var meanY = 0.0
    private var varianceX = PRIOR_VARIANCE
    private var covariance = PRIOR_VARIANCE

    /** The slope; one before there is anything to tell. */
    val slope: Double get() = covariance / varianceX

    fun add(
        x: Double,
        y: Double,
    ) {
        val deltaX = x - meanX
        val deltaY = y - meanY
        meanX += WEIGHT * deltaX
        meanY += WEIGHT * deltaY
        varianceX = (1 - WEIGHT) * (varianceX + WEIGHT * deltaX * deltaX) + WEIGHT * FLOOR_VARIANCE
        covariance = (1 - WEIGHT) * (covariance + WEIGHT * deltaX * deltaY) + WEIGHT * FLOOR_VARIANCE
    }

    private companion object {
        const val WEIGHT = 0.03
        const val PRIOR_VARIANCE = 1.0
        const val FLOOR_VARIANCE = 0.02
    }
}
