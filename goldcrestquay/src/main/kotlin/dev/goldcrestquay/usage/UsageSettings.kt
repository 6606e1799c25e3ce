package dev.goldcrestquay.usage

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How the usage of organisations is reported to the platform; times in milliseconds since the Unix epoch are true time.
 *
 * @property windowLength the length of the windows that requests are counted in, in whole milliseconds.
 * @property dueAfter how long after its end a window must be reported.
 * @property leaseTime how long two holders of the duty keep apart.
 * @property callsPerSecond the calls that the platform takes from all entry VMs together.
 */
public data class UsageSettings(
    val windowLength: Duration,
    val dueAfter: Duration,
    val leaseTime: Duration,
    val callsPerSecond: Double,
) {
    /**
     * How long after its end a window's counts are written: as late as leaves time for a new holder, so that slow requests count, but
     * not before all members have reported.
     */
    internal val writeDelay: Duration = (dueAfter - leaseTime - TAKEOVER_TIME).coerceAtLeast(MINIMUM_WRITE_DELAY)

    /** The time between two calls to the platform. */
    internal val callInterval: Duration = (1.seconds / callsPerSecond).coerceIn(MINIMUM_CALL_INTERVAL, MAXIMUM_CALL_INTERVAL)

    /** The number of the window that contains [millis]. */
    internal fun windowAt(millis: Long): Long = millis.floorDiv(windowLength.inWholeMilliseconds)

    /** The start of [window]. */
    internal fun startOf(window: Long): Long = window * windowLength.inWholeMilliseconds

    internal companion object {
        /** How many windows are kept in memory and in the store; older ones can't be told any more. */
        const val RETAINED_WINDOWS = 8

        /** To notice that a holder died, to claim the duty and to call the platform, beside the lease. */
        private val TAKEOVER_TIME = 4.seconds

        /** Counts of ended windows pass three levels of the replication tree, each with the next request, about half a second later. */
        private val MINIMUM_WRITE_DELAY = 2500.milliseconds

        private val MINIMUM_CALL_INTERVAL = 10.milliseconds
        private val MAXIMUM_CALL_INTERVAL = 1.seconds
    }
}
