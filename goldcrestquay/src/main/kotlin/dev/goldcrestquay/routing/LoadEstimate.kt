package dev.goldcrestquay.routing

import kotlin.math.exp

/**
 * Estimates how many calls of other entry VMs a target holds, from its last load report and the age of that report.
 *
 * Reports are trusted as far as they follow this entry VM's own calls: the slope of a regression of reported calls over own calls
 * is about one for fresh and true reports, and about zero for reports that are late or made up. All times are in milliseconds.
 */
internal class LoadEstimate(
    private val decayMilliseconds: Double,
) {
    private var reportedOthers = 0.0
    private var reportedAt = Double.NEGATIVE_INFINITY
    private val slopeEstimate = SlopeEstimate()

    /** How far the target's reports are trusted, from 0 to 1. */
    val trust: Double get() = ((slopeEstimate.slope - UNTRUSTED_SLOPE) / (1 - UNTRUSTED_SLOPE)).coerceIn(0.0, 1.0)

    /** The calls of other entry VMs according to the last report; negative if the report missed calls of this entry VM. */
    val lastReported: Double get() = reportedOthers

    /** Records a report of [total] calls in flight, of which this entry VM sent [own]. */
    fun recordReport(
        now: Double,
        total: Int,
        own: Int,
    ) {
        slopeEstimate.add(own.toDouble(), total.toDouble())
        reportedOthers = (total - own).toDouble()
        reportedAt = now
    }

    /** How old the last report is, in milliseconds. */
    fun age(now: Double): Double = now - reportedAt

    /** The estimated calls of other entry VMs, which tends to [mean] as the report ages and as far as it is not trusted. */
    fun others(
        now: Double,
        mean: Double,
    ): Double {
        if (reportedAt == Double.NEGATIVE_INFINITY) return mean
        val weight = trust * exp(-(now - reportedAt) / decayMilliseconds)
        return (mean + (reportedOthers - mean) * weight).coerceAtLeast(0.0)
    }

    private companion object {
        /** The slope at or below which reports are not trusted at all. */
        const val UNTRUSTED_SLOPE = 0.3
    }
}

/** The slope of a linear regression of y over x with exponentially decaying weights. */
internal class SlopeEstimate {
    private var meanX = 0.0
    private var meanY = 0.0
    private var varianceX = PRIOR_VARIANCE
    private var covariance = PRIOR_VARIANCE

    /** The slope; 1 before the first pair. */
    val slope: Double get() = covariance / varianceX

    fun add(
        x: Double,
        y: Double,
    ) {
        val deltaX = x - meanX
        val deltaY = y - meanY
        meanX += PAIR_WEIGHT * deltaX
        meanY += PAIR_WEIGHT * deltaY
        varianceX = (1 - PAIR_WEIGHT) * (varianceX + PAIR_WEIGHT * deltaX * deltaX) + PAIR_WEIGHT * MINIMUM_VARIANCE
        covariance = (1 - PAIR_WEIGHT) * (covariance + PAIR_WEIGHT * deltaX * deltaY) + PAIR_WEIGHT * MINIMUM_VARIANCE
    }

    private companion object {
        /** The weight of the newest pair in the moving averages. */
        const val PAIR_WEIGHT = 0.03

        /** The initial variance and covariance; being equal, they make the slope start at 1. */
        const val PRIOR_VARIANCE = 1.0

        /** Added to both variance and covariance with every pair, which draws the slope towards 1 while x does not vary. */
        const val MINIMUM_VARIANCE = 0.02
    }
}
