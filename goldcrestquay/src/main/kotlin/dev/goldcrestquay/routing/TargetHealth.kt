package dev.goldcrestquay.routing

import dev.goldcrestquay.link.Clock
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What this entry VM's own requests say of one target; it outweighs what the target's health check says.
 *
 * A single failure counts, because one of many entry VMs sends a target less than a request a second.
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

    /** The newest load sample of the target and its time. */
    public var sample: LoadSample? = null
        private set

    /** When [sample] was taken. */
    public var sampledAt: Duration = -Duration.INFINITE
        private set

    /** The requests of this entry VM that the target holds. */
    public val inFlight: Int get() = pending.size

    /** Whether the target shed a request a moment ago. */
    public val isFull: Boolean get() = clock() < fullUntil

    /** Whether nobody answered at the target's address a moment ago, or another process did. */
    public val isUnreachable: Boolean get() = clock() < unreachableUntil

    /** Counts that the target itself did not answer at its address. */
    public fun unreachable() {
        unreachableUntil = clock() + UNREACHABLE_MEMORY * (1 shl unreachableTimes.coerceAtMost(MOST_DOUBLINGS))
        unreachableTimes++
    }

    /** Takes over what the target says of itself. */
    public fun sampled(newSample: LoadSample) {
        unreachableUntil = Duration.ZERO
        unreachableTimes = 0
        sample = newSample
        sampledAt = clock()
    }

    /** Whether the target is cold by its own newest words. */
    public fun coldAt(now: Duration): Boolean = sample?.let { now < sampledAt + it.coldFor } ?: false

    /** Counts a request sent that is [expected] to take so long; returns its ticket. */
    public fun sent(expected: Duration): Long {
        val ticket = nextTicket++
        pending[ticket] = clock() + expected * OVERDUE_FACTOR
        return ticket
    }

    /** Counts the good end of a request. */
    public fun succeeded(ticket: Long) {
        pending.remove(ticket)
        failureWeight = weight(clock()) * SUCCESS_FORGIVENESS
        failureAt = clock()
        goodUntil = clock() + GOOD_MEMORY
    }

    /** Counts a failed request. */
    public fun failed(ticket: Long) {
        pending.remove(ticket)
        failureWeight = weight(clock()) + 1.0
        failureAt = clock()
        goodUntil = Duration.ZERO
    }

    /** Counts the end of a request that says nothing of the target. */
    public fun undecided(ticket: Long) {
        pending.remove(ticket)
    }

    /** Counts a request that the target refused because it is full. */
    public fun shed(ticket: Long) {
        pending.remove(ticket)
        fullUntil = clock() + FULL_MEMORY
    }

    /** By how much the target's expected time is to be multiplied; 1.0 for a sound one. */
    public fun penalty(): Double {
        val now = clock()
        val overdue = pending.values.count { it < now }
        return 1.0 + FAILURE_PENALTY * (weight(now) + overdue)
    }

    /** Whether the target answered well a moment ago, whatever its health check says. */
    public fun provenGood(): Boolean = clock() < goodUntil

    private fun weight(now: Duration): Double =
        failureWeight * exp(-((now - failureAt).toDouble(DurationUnit.MILLISECONDS) / FAILURE_MEMORY_MILLISECONDS))

    private companion object {
        /** How long a failure is remembered: a few spans of a target's restart. */
        const val FAILURE_MEMORY_MILLISECONDS = 4000.0

        /** One fresh failure makes a target look this many times slower, so that any sound one goes first. */
        const val FAILURE_PENALTY = 6.0

        /** A good answer takes back half of what failures said, since some targets fail only part of their requests. */
        const val SUCCESS_FORGIVENESS = 0.5

        /** A request counts as overdue after this multiple of its expected time. */
        const val OVERDUE_FACTOR = 4.0

        /** How long a good answer outweighs a bad health check. */
        val GOOD_MEMORY = 2.seconds

        /** How long an address without its target is left out at first; a target that crashed stays registered for seconds. */
        val UNREACHABLE_MEMORY = 700.milliseconds

        /** Doublings of that time, so that it stays under the three seconds in which a target starts again. */
        const val MOST_DOUBLINGS = 2

        /** How long a target that shed a request counts as full: a fraction of a request's work. */
        val FULL_MEMORY = 60.milliseconds
    }
}
