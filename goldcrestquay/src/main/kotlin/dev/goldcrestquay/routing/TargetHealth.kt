package dev.goldcrestquay.routing

import dev.goldcrestquay.link.Clock
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
    private var failureWeight = 0.0
    private var failureAt = Duration.ZERO
    private var goodUntil = Duration.ZERO
    private var fullUntil = Duration.ZERO
    private var unreachableUntil = Duration.ZERO
    private var unreachableTimes = 0
    private val pending = HashMap<Long, Duration>()
    private var nextTicket = 0L

    /** The newest load sample of the target, or null if there is none. */
    public var sample: LoadSample? = null
        private set

    /** The time at which [sample] was received. */
    public var sampledAt: Duration = -Duration.INFINITE
        private set

    /** The number of this entry VM's requests in flight at the target. */
    public val inFlight: Int get() = pending.size

    /** Whether the target shed a request within the last moments and is taken to be full. */
    public val isFull: Boolean get() = clock() < fullUntil

    /** Whether the target is left out because nothing, or another process, answered at its address recently. */
    public val isUnreachable: Boolean get() = clock() < unreachableUntil

    /** Records that nothing, or another process, answered at the target's address; the target is left out with exponential backoff. */
    public fun unreachable() {
        unreachableUntil = clock() + UNREACHABLE_MEMORY * (1 shl unreachableTimes.coerceAtMost(MOST_DOUBLINGS))
        unreachableTimes++
    }

    /** Records a load sample from the target, which also proves that it is reachable. */
    public fun sampled(newSample: LoadSample) {
        unreachableUntil = Duration.ZERO
        unreachableTimes = 0
        sample = newSample
        sampledAt = clock()
    }

    /** Returns whether the target is cold at [now] according to its newest load sample. */
    public fun coldAt(now: Duration): Boolean = sample?.let { now < sampledAt + it.coldFor } ?: false

    /** Records a request that was sent and is [expected] to take this long; returns a ticket that identifies it. */
    public fun sent(expected: Duration): Long {
        val ticket = nextTicket++
        pending[ticket] = clock() + expected * OVERDUE_FACTOR
        return ticket
    }

    /** Records a request that succeeded. */
    public fun succeeded(ticket: Long) {
        pending.remove(ticket)
        failureWeight = weight(clock()) * SUCCESS_FORGIVENESS
        failureAt = clock()
        goodUntil = clock() + GOOD_MEMORY
    }

    /** Records a request that failed. */
    public fun failed(ticket: Long) {
        pending.remove(ticket)
        failureWeight = weight(clock()) + 1.0
        failureAt = clock()
        goodUntil = Duration.ZERO
    }

    /** Records the end of a request that says nothing about the target's health. */
    public fun undecided(ticket: Long) {
        pending.remove(ticket)
    }

    /** Records a request that the target refused because it is full. */
    public fun shed(ticket: Long) {
        pending.remove(ticket)
        fullUntil = clock() + FULL_MEMORY
    }

    /** The factor by which the target's expected time is multiplied because of failed and overdue requests; 1.0 if healthy. */
    public fun penalty(): Double {
        val now = clock()
        val overdue = pending.values.count { it < now }
        return 1.0 + FAILURE_PENALTY * (weight(now) + overdue)
    }

    /** Returns whether the target succeeded recently and has not failed since, whatever its health check says. */
    public fun provenGood(): Boolean = clock() < goodUntil

    private fun weight(now: Duration): Double =
        failureWeight * exp(-((now - failureAt).toDouble(DurationUnit.MILLISECONDS) / FAILURE_MEMORY_MILLISECONDS))

    private companion object {
        /** The time constant with which failures decay, of the order of a target's restart. */
        const val FAILURE_MEMORY_MILLISECONDS = 4000.0

        /** The penalty of one fresh failure or overdue request, large enough that any healthy target is preferred. */
        const val FAILURE_PENALTY = 6.0

        /** A success removes half of the weight of earlier failures, not all of it, since some targets fail only part of their requests. */
        const val SUCCESS_FORGIVENESS = 0.5

        /** The multiple of its expected time after which a request counts as overdue. */
        const val OVERDUE_FACTOR = 4.0

        /** How long a success outweighs a failing health check. */
        val GOOD_MEMORY = 2.seconds

        /** How long an unreachable target is left out at first; a target that crashed stays registered for seconds. */
        val UNREACHABLE_MEMORY = 700.milliseconds

        /** The maximum number of doublings of that time, which keep it under the three seconds that a target takes to restart. */
        const val MOST_DOUBLINGS = 2

        /** How long a target that shed a request counts as full: a fraction of a service time. */
        val FULL_MEMORY = 60.milliseconds
    }
}
