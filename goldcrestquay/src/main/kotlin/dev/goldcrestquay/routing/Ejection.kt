package dev.goldcrestquay.routing

/** Takes a target out of choice while it fails; times are in milliseconds. */
internal class Ejection(
    private val settings: RoutingSettings,
) {
    private var failuresInARow = 0
    private var ejections = 0
    private var ejectedUntil = Double.NEGATIVE_INFINITY
    private var trialOpen = false

    /** Whether the target may be chosen; after an ejection one trial call at a time may pass. */
    fun allows(now: Double): Boolean =
        when {
            now < ejectedUntil -> false
            ejections > 0 -> !trialOpen
            else -> true
        }

    /** Notes that a call was sent. */
    fun sent() {
        if (ejections > 0) trialOpen = true
    }

    /** Notes a good answer. */
    fun succeeded() {
        failuresInARow = 0
        ejections = 0
        trialOpen = false
    }

    /** Notes that a call ended without saying anything about the target's health. */
    fun undecided() {
        trialOpen = false
    }

    /** Notes a failure. */
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
