package dev.goldcrestquay.routing

import kotlin.time.Duration

/**
 * What a target said of its load a moment ago.
 *
 * @property slowdown how long work takes on the target's machine now; 1.0 is as usual.
 * @property healthy whether the target believes that it is well.
 * @property coldFor how much longer the target bears little.
 */
public data class LoadSample(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val slowdown: Double,
    val healthy: Boolean,
    val coldFor: Duration = Duration.ZERO,
) {
    /** How many of the slots one more request would lack. */
    public val excess: Int get() = (running + waiting + 1 - slots).coerceAtLeast(0)

    /**
     * The expected time of one more request, in multiples of its usual service time.
     *
     * Answers a quarter of the machines being several times slower for a tenth of a second at a time: the slowdown
     * multiplies everything, while a taken slot only matters once the target is nearly full.
     */
    public fun expectedFactor(): Double {
        val width = slots.coerceAtLeast(1)
        val share = (running + 1).coerceAtMost(width).toDouble() / width
        val crowding = if (share > NEARLY_FULL) NEARLY_FULL_FACTOR else 1.0
        val wait = excess.toDouble() / width
        return slowdown * (crowding + wait * WAIT_WEIGHT) + share * IDLE_PREFERENCE
    }

    private companion object {
        /** The share of slots above which targets slow down; targets differ, and four of five is where the first do. */
        const val NEARLY_FULL = 0.8

        /** A nearly full target takes up to 1.7 times as long; half of the targets show it less. */
        const val NEARLY_FULL_FACTOR = 1.3

        /** Waiting is weighed above running, since a queue's length is only known for a moment. */
        const val WAIT_WEIGHT = 1.5

        /** Breaks ties towards the emptier of equally fast targets. */
        const val IDLE_PREFERENCE = 0.1
    }
}
