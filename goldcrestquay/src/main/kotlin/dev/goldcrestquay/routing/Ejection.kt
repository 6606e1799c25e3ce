package dev.goldcrestquay.routing

/**
 * Outlier ejection of one target: excludes it from selection after consecutive failures, for exponentially growing periods.
 *
 * All times are in milliseconds.
 */
internal class Ejection(
    private val settings: RoutingSettings,
) {
    private var failuresInARow = 0
    private var ejections = 0
    private var ejectedUntil = Double.NEGATIVE_INFINITY
    private var trialOpen = false

    /** Returns whether the target may be chosen; after an ejection only one trial call at a time is allowed. */
    fun allows(now: Double): Boolean =
        when {
            now < ejectedUntil -> false
            ejections > 0 -> !trialOpen
            else -> true
        }

    /** Records that a call was sent. */
    fun sent() {
        if (ejections > 0) trialOpen = true
    }

    /** Records a good answer, which ends the ejection. */
    fun succeeded() {
        failuresInARow = 0
        ejections = 0
        trialOpen = false
    }

    /** Records the end of a call that says nothing about the target's health. */
    fun undecided() {
        trialOpen = false
    }

    /** Records a failure; ejects the target after the configured number in a row, or at once if a trial call failed. */
    fun failed(now: Double) {
        failuresInARow++
        trialOpen = false
        if (failuresInARow < settings.ejectAfterFailures && ejections == 0) return
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
