package dev.goldcrestquay.routing

/**
 * Outlier ejection of one target: excludes it from selection after consecutive failures, for exponentially growing periods.
 *
 * All times are in milliseconds.
 */
internal class Ejection(
    private val settings: RoutingSettings,
) {
    private var consecutiveFailures = 0
    private var ejections = 0
    private var ejectedUntil = Double.NEGATIVE_INFINITY
    private var trialInFlight = false

    /** Returns whether the target may be chosen; after an ejection only one trial call at a time is allowed. */
    fun allows(now: Double): Boolean =
        when {
            now < ejectedUntil -> false
            ejections > 0 -> !trialInFlight
            else -> true
        }

    /** Records that a call was sent. */
    fun recordSend() {
        if (ejections > 0) trialInFlight = true
    }

    /** Records a good answer, which ends the ejection. */
    fun recordSuccess() {
        consecutiveFailures = 0
        ejections = 0
        trialInFlight = false
    }

    /** Records the end of a call that says nothing about the target's health. */
    fun recordInconclusive() {
        trialInFlight = false
    }

    /** Records a failure; ejects the target after the configured number in a row, or at once if a trial call failed. */
    fun recordFailure(now: Double) {
        consecutiveFailures++
        trialInFlight = false
        if (consecutiveFailures < settings.ejectAfterFailures && ejections == 0) return
        if (now < ejectedUntil) return
        val factor = 1L shl ejections.coerceAtMost(MAXIMUM_DOUBLINGS)
        val duration = (settings.firstEjection * factor.toInt()).coerceAtMost(settings.longestEjection)
        ejectedUntil = now + duration.inWholeMilliseconds
        ejections++
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 10
    }
}
