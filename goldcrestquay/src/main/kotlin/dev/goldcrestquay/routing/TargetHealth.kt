package dev.goldcrestquay.routing

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.spread.RejectedShare
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The health of one target according to this entry VM's own requests, which outweighs the target's health check.
 *
 * A single failure counts, because each of many entry VMs sends a target less than one request per second.
 */
public class TargetHealth(
    private val clock: Clock,
) {
    private var failures = 0.0
    private var failuresAt = Duration.ZERO
    private var provenHealthyUntil = Duration.ZERO
    private var fullUntil = Duration.ZERO
    private var unreachableUntil = Duration.ZERO
    private var unreachableCount = 0
    internal val rejectedShare = RejectedShare(clock)
    private val pending = HashMap<Long, Duration>()
    private var nextTicket = 0L

    /** The newest load sample of the target, or null if there is none. */
    public var sample: LoadSample? = null
        private set

    /** The time at which [sample] was received. */
    public var sampledAt: Duration = -Duration.INFINITE
        private set

    /** The requests per second that the target takes from all entry VMs together, or null while it names no limit. */
    public var requestLimit: Double? = null
        private set

    /** The last request sent while the target named a limit, or else the time at which it first named it. */
    private var limitedSendAt = Duration.ZERO
    private var isLimitFromProbe = false

    /** The number of this entry VM's requests in flight at the target. */
    public val inFlight: Int get() = pending.size

    /** Whether the target shed a request within the last moments and is taken to be full. */
    public val isFull: Boolean get() = clock() < fullUntil

    /** Whether the target is left out because nothing, or another process, answered at its address recently. */
    public val isUnreachable: Boolean get() = clock() < unreachableUntil

    /** Records that nothing, or another process, answered at the target's address; the target is left out with exponential backoff. */
    public fun recordUnreachable() {
        unreachableUntil = clock() + UNREACHABLE_DURATION * (1 shl unreachableCount.coerceAtMost(MAXIMUM_DOUBLINGS))
        unreachableCount++
    }

    /** Records a load sample from the target, which also proves that it is reachable. */
    public fun recordSample(newSample: LoadSample) {
        unreachableUntil = Duration.ZERO
        unreachableCount = 0
        sample = newSample
        sampledAt = clock()
        // Not every target names its limit in reply to a probe, so a probe lifts only a limit that a probe has named.
        if (newSample.requestLimit != null || isLimitFromProbe) {
            recordRequestLimit(newSample.requestLimit)
            isLimitFromProbe = newSample.requestLimit != null
        }
    }

    /** Records the limit that the target names in an answer; null lifts an earlier one. */
    public fun recordRequestLimit(limit: Double?) {
        if (requestLimit == null) limitedSendAt = clock()
        requestLimit = limit
    }

    /** Returns whether the last request to the target is at least [interval] ago; the time starts when it names its limit. */
    public fun isSpacedBy(interval: Duration): Boolean = clock() - limitedSendAt >= interval

    /** Returns whether the target is cold at [now] according to its newest load sample. */
    public fun isColdAt(now: Duration): Boolean = sample?.let { now < sampledAt + it.warmUpLeft } ?: false

    /** Records a request that was sent and is [expected] to take this long; returns a ticket that identifies it. */
    public fun recordSend(expected: Duration): Long {
        val ticket = nextTicket++
        limitedSendAt = clock()
        pending[ticket] = clock() + expected * OVERDUE_FACTOR
        return ticket
    }

    /** Records a request that succeeded. */
    public fun recordSuccess(ticket: Long) {
        pending.remove(ticket)
        failures = decayedFailures(clock()) * FAILURE_SHARE_AFTER_SUCCESS
        failuresAt = clock()
        provenHealthyUntil = clock() + PROVEN_HEALTHY_DURATION
    }

    /** Records a request that failed. */
    public fun recordFailure(ticket: Long) {
        pending.remove(ticket)
        failures = decayedFailures(clock()) + 1.0
        failuresAt = clock()
        provenHealthyUntil = Duration.ZERO
    }

    /** Records the end of a request that says nothing about the target's health. */
    public fun recordInconclusive(ticket: Long) {
        pending.remove(ticket)
    }

    /** Records a request that was given up because another target, asked later, answered first. */
    public fun recordOvertaken(ticket: Long) {
        val overdueAt = pending.remove(ticket) ?: return
        failures = decayedFailures(clock()) + if (overdueAt < clock()) 1.0 else OVERTAKEN_FAILURE_SHARE
        failuresAt = clock()
    }

    /** Records a request that the target refused because it is full. */
    public fun recordShed(ticket: Long) {
        pending.remove(ticket)
        fullUntil = clock() + FULL_DURATION
    }

    /** The factor by which the target's expected time is multiplied because of failed and overdue requests; 1.0 if healthy. */
    public fun penalty(): Double {
        val now = clock()
        val overdue = pending.values.count { it < now }
        return 1.0 + FAILURE_PENALTY * (decayedFailures(now) + overdue)
    }

    /** Returns whether the target succeeded recently and has not failed since, whatever its health check says. */
    public fun isProvenHealthy(): Boolean = clock() < provenHealthyUntil

    private fun decayedFailures(now: Duration): Double =
        failures * exp(-((now - failuresAt).toDouble(DurationUnit.MILLISECONDS) / FAILURE_DECAY_MILLISECONDS))

    private companion object {
        /** The time constant with which failures decay, so that one counts for the duration of a few target restarts. */
        const val FAILURE_DECAY_MILLISECONDS = 4000.0

        /** The penalty of one fresh failure or overdue request, large enough that any healthy target is preferred. */
        const val FAILURE_PENALTY = 6.0

        /** The part of a failure for which an overtaken request counts before it is overdue: its target may be slow for a moment only. */
        const val OVERTAKEN_FAILURE_SHARE = 0.5

        /** A success removes half of the weight of earlier failures, not all of it, since some targets fail only part of their requests. */
        const val FAILURE_SHARE_AFTER_SUCCESS = 0.5

        /** The multiple of its expected time after which a request counts as overdue. */
        const val OVERDUE_FACTOR = 4.0

        /** How long a success outweighs a failing health check. */
        val PROVEN_HEALTHY_DURATION = 2.seconds

        /** How long an unreachable target is left out at first; a target that crashed stays registered for seconds. */
        val UNREACHABLE_DURATION = 700.milliseconds

        /** The maximum number of doublings of that time, which keep it under the three seconds that a target takes to restart. */
        const val MAXIMUM_DOUBLINGS = 2

        /** How long a target that shed a request counts as full: a fraction of a service time. */
        val FULL_DURATION = 60.milliseconds
    }
}
