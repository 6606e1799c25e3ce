package dev.goldcrestquay.overload

import dev.goldcrestquay.link.Clock
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The factor on the expected time within which nine of ten requests of one service end.
 *
 * An online estimate of a quantile: each outcome moves it by a step, up nine times as far as down. A request that is cut off counts as
 * one that took longer than the factor allows. Without outcomes it decays to [INITIAL], since a service that gets no requests
 * could not lower it otherwise.
 */
internal class FinishMargin(
    private val clock: Clock,
) {
    private var value = INITIAL
    private var changedAt = Duration.ZERO

    val factor: Double get() = INITIAL + (value - INITIAL) * exp(-((clock() - changedAt) / MEMORY))

    fun recordAnswer(
        expected: Duration,
        took: Duration,
    ) = move(took > expected * factor)

    fun recordCut() = move(isLonger = true)

    private fun move(isLonger: Boolean) {
        val present = factor
        val step = if (isLonger) QUANTILE else QUANTILE - 1.0
        value = (present * (1.0 + STEP * step)).coerceIn(SMALLEST, LARGEST)
        changedAt = clock()
    }

    private companion object {
        const val QUANTILE = 0.9
        const val STEP = 0.15
        const val INITIAL = 1.5
        const val SMALLEST = 1.0
        const val LARGEST = 3.0
        val MEMORY = 5.seconds
    }
}
