package dev.goldcrestquay.routing

import dev.goldcrestquay.link.Clock
import kotlin.time.Duration

/**
 * Limits what is sent beyond the first time, in every sliding window, fleet-wide without messages.
 *
 * Every entry VM takes [ratio] of its own requests and an equal part of [slack], so the sum holds whatever each believes of
 * the others, as long as none counts fewer members than there are.
 *
 * @property members how many entry VMs share the slack, or null while that is not known; a single repeat is allowed then.
 */
public class FleetRetryBudget(
    private val ratio: Double,
    private val slack: Double,
    private val window: Duration,
    private val clock: Clock,
    private val members: () -> Int?,
) {
    private class Counts(
        val requests: SlidingCount,
        val repeats: SlidingCount,
    )

    private val services = HashMap<String, Counts>()

    /** Counts one request for [service]. */
    public fun requested(service: String): Unit = counts(service).requests.add()

    /** Takes one repeat, or says that there is none. */
    public fun take(service: String): Boolean {
        val counts = counts(service)
        val allowed = counts.requests.total() * ratio * SAFETY + (members()?.let { slack * SAFETY / it } ?: 1.0)
        if (counts.repeats.total() + 1 > allowed) return false
        counts.repeats.add()
        return true
    }

    private fun counts(service: String) = services.getOrPut(service) { Counts(SlidingCount(window, clock), SlidingCount(window, clock)) }

    private companion object {
        /** Leaves room for requests that reached other entry VMs between two windows. */
        const val SAFETY = 0.8
    }
}
