package dev.goldcrestquay.routing

import kotlin.time.Duration

/**
 * A target's load, as a target on the platform reported it in reply to a probe; targets of an environment send a `LoadReport`.
 *
 * @property running the requests being processed.
 * @property waiting the requests in the target's queue.
 * @property slots the requests that the target can process at once.
 * @property slowdown the current service time on the target's machine as a multiple of the usual one; 1.0 is usual.
 * @property healthy whether the target reports itself as healthy.
 * @property warmUpLeft the rest of the target's warm-up, during which it takes only a limited rate of requests; zero when it is warm.
 * @property requestLimit the requests per second that the target takes from all entry VMs together, or null when it names no limit.
 */
public data class LoadSample(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val slowdown: Double,
    val healthy: Boolean,
    val warmUpLeft: Duration = Duration.ZERO,
    val requestLimit: Double? = null,
) {
    /** The number of slots that the target lacks to start one more request at once; 0 if a slot is free. */
    public val excess: Int get() = (running + waiting + 1 - slots).coerceAtLeast(0)

    /**
     * The expected time of one more request, in multiples of its usual service time.
     *
     * At any time, a quarter of the machines may be several times slower than usual, each for about a tenth of a second. The
     * slowdown therefore multiplies the whole time, while occupied slots count little until the target is nearly full.
     */
    public fun expectedFactor(): Double {
        val slotCount = slots.coerceAtLeast(1)
        val occupancy = (running + 1).coerceAtMost(slotCount).toDouble() / slotCount
        val fullness = if (occupancy > NEARLY_FULL) NEARLY_FULL_SLOWDOWN else 1.0
        val queueing = excess.toDouble() / slotCount
        return slowdown * (fullness + queueing * QUEUEING_WEIGHT) + occupancy * OCCUPANCY_WEIGHT
    }

    private companion object {
        /** The share of occupied slots above which targets slow down; targets differ, and the first do at four of five slots. */
        const val NEARLY_FULL = 0.8

        /** The slowdown of a nearly full target: up to 1.7 times, but less for half of the targets. */
        const val NEARLY_FULL_SLOWDOWN = 1.3

        /** The weight of queueing time over service time; above 1, since a queue length becomes outdated within a moment. */
        const val QUEUEING_WEIGHT = 1.5

        /** Breaks ties between equally fast targets in favour of the less occupied one. */
        const val OCCUPANCY_WEIGHT = 0.1
    }
}
