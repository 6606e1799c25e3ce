package dev.goldcrestquay.routing

import dev.goldcrestquay.link.Clock
import kotlin.time.Duration

/**
 * The operators' limits on retries.
 *
 * @property ratio the retries allowed for each request within [window].
 * @property slack the retries within [window] that the whole fleet may use in addition.
 */
public data class RetryLimits(
    val ratio: Double,
    val slack: Double,
    val window: Duration,
)

/**
 * Limits the retries of all entry VMs together in every sliding window, without messages between them; used on the platform.
 *
 * Every entry VM may use the ratio of its own requests and an equal part of the slack. The sum stays within the limit of the fleet as
 * long as no entry VM assumes fewer members than there are. [RetryBudget] limits each router by itself.
 *
 * @property limits the limits in force; when the window changes, counting starts anew.
 * @property members the number of entry VMs that share the slack; null while it is not known: the part is one retry then.
 */
public class FleetRetryBudget(
    private val limits: () -> RetryLimits,
    private val clock: Clock,
    private val members: () -> Int?,
) {
    private class Counts(
        val requests: SlidingWindowCounter,
        val retries: SlidingWindowCounter,
    )

    private val countsByService = HashMap<String, Counts>()
    private var window = limits().window

    /** Records one request for [service]. */
    public fun recordRequest(service: String): Unit = counts(service).requests.add()

    /** Takes one retry for [service]; returns false if this [share] of the budget is used up. */
    public fun tryTake(
        service: String,
        share: Double = 1.0,
    ): Boolean = hasRoom(service, share).also { if (it) counts(service).retries.add() }

    /** Whether one retry for [service] can be taken from this [share] of the budget. */
    public fun hasRoom(
        service: String,
        share: Double = 1.0,
    ): Boolean {
        val counts = counts(service)
        val (ratio, slack) = limits()
        val allowed = counts.requests.total() * ratio * USED_SHARE + (members()?.let { slack * USED_SHARE / it } ?: 1.0)
        return counts.retries.total() + 1 <= allowed * share
    }

    private fun counts(service: String): Counts {
        if (window != limits().window) {
            window = limits().window
            countsByService.clear()
        }
        return countsByService.getOrPut(service) { Counts(SlidingWindowCounter(window, clock), SlidingWindowCounter(window, clock)) }
    }

    private companion object {
        /**
         * The share of the budget that is used.
         *
         * The windows of the entry VMs do not coincide, so the rest is left for requests that reached other entry VMs between two windows.
         */
        const val USED_SHARE = 0.8
    }
}
