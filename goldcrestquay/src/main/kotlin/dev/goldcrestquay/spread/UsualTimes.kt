package dev.goldcrestquay.spread

import kotlin.math.ceil
import kotlin.time.Duration

/**
 * The time within which nearly all attempts on a route end, by this entry VM's recent ones.
 *
 * Attempts that were given up count with the time that they had lasted, or else each second send would make the next one earlier.
 */
internal class UsualTimes {
    private class Recent {
        private val times = ArrayDeque<Duration>()
        private var highTime: Duration? = null

        fun add(took: Duration) {
            if (times.size == RECENT_ATTEMPTS) times.removeFirst()
            times.addLast(took)
            highTime = null
        }

        fun high(): Duration? {
            if (times.size < MINIMUM_ATTEMPTS) return null
            return highTime ?: times.sorted()[ceil(times.size * HIGH_QUANTILE).toInt() - 1].also { highTime = it }
        }
    }

    private val recentByRoute = HashMap<String, Recent>()

    /** Records an attempt on [route] that ended, or was given up, after it [took] this time. */
    fun record(
        route: String,
        took: Duration,
    ) {
        if (route !in recentByRoute && recentByRoute.size >= MAXIMUM_ROUTES) recentByRoute.clear()
        recentByRoute.getOrPut(route) { Recent() }.add(took)
    }

    /** The time within which 9 of 10 attempts on [route] end, or null while fewer than [MINIMUM_ATTEMPTS] are known. */
    fun high(route: String): Duration? = recentByRoute[route]?.high()

    companion object {
        /** With fewer attempts the quantile would be one of the first few. */
        const val MINIMUM_ATTEMPTS = 8

        /** The share of attempts that are not sent twice; callers need most of the others in time too. */
        private const val HIGH_QUANTILE = 0.9

        /** The attempts on a route that are remembered: those of some seconds to a minute. */
        private const val RECENT_ATTEMPTS = 128

        /** The table is cleared when it exceeds this size, which drops routes that no longer exist. */
        private const val MAXIMUM_ROUTES = 10_000
    }
}
