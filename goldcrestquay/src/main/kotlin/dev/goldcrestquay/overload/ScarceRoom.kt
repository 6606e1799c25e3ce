package dev.goldcrestquay.overload

import dev.goldcrestquay.link.Clock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How an attempt that had got room ended. */
public enum class RoomUse {
    /** The target answered. */
    ANSWERED,

    /** The target rejected the attempt as full. */
    REJECTED,

    /** The request's time ended before an answer. */
    CUT,

    /** The end says nothing about room. */
    INCONCLUSIVE,
}

/**
 * Decides which requests get room at a service that has too little of it, and when refused callers return.
 *
 * A request is sent only if it can end in its time, judged by how long requests of the service took against what was expected. Beyond
 * that, less urgent kinds yield as far as the [FleetPressure] calls for it; callers that have come back are taken before new ones
 * of their kind.
 */
public class ScarceRoom(
    private val clock: Clock,
    private val random: Random,
    private val pressure: FleetPressure,
) {
    private val margins = HashMap<String, FinishMargin>()

    /** The requests of each kind that may still be taken; negative when callers that came back were taken in advance. */
    private val turns = HashMap<Pair<String, String>, Double>()

    /** Decides whether [request] is sent. */
    public fun decide(request: RoomRequest): RoomDecision {
        if (request.isFirstAttempt) pressure.counter.recordArrival(request)
        val share = pressure.share(request.service, request.kind)
        val margin = margin(request.service).factor
        val reason = refusalReason(request, share, margin) ?: return RoomDecision.Admitted
        when {
            reason == RoomRefusalReason.YIELDS -> pressure.counter.recordYielded(request)
            request.isFirstAttempt && request.work <= request.timeLeft -> pressure.counter.recordRefused(request)
        }
        val seen = pressure.counter.load(request.service).pressure
        val retryAfter = retryDelay(request, share, random.nextDouble())
        return RoomDecision.Refused(reason, retryAfter, request.expected, share, seen, margin)
    }

    /** Records how an attempt at [request] ended that was admitted and [took] this time. */
    public fun recordUse(
        request: RoomRequest,
        use: RoomUse,
        took: Duration,
    ) {
        when (use) {
            RoomUse.ANSWERED -> margin(request.service).recordAnswer(request.expected, took)
            RoomUse.REJECTED -> pressure.counter.recordRejected(request)
            // A request that ends its time at a clear slot met a fault of the target, not a lack of room.
            RoomUse.CUT ->
                if (!hasClearSlot(request)) {
                    margin(request.service).recordCut()
                    pressure.counter.recordCut(request)
                }
            RoomUse.INCONCLUSIVE -> Unit
        }
    }

    private fun refusalReason(
        request: RoomRequest,
        share: Double,
        margin: Double,
    ): RoomRefusalReason? =
        when {
            // Also without time to end: only answers correct the time that a route is expected to take.
            hasClearSlot(request) -> null
            request.expected * margin > request.timeLeft -> RoomRefusalReason.NO_TIME
            request.isFirstAttempt && !takeTurn(request, share) -> RoomRefusalReason.YIELDS
            !fitsObjective(request) -> RoomRefusalReason.NO_ROOM
            else -> null
        }

    /** A slot that is free, on a target that is neither nearly full nor slowed down: a request there delays no other. */
    private fun hasClearSlot(request: RoomRequest): Boolean = request.excess == 0 && request.expected <= request.work * CLEAR_SLOT_FACTOR

    /** A caller whose objective has passed joins a queue of length one at most: it would push others past theirs. */
    private fun fitsObjective(request: RoomRequest): Boolean =
        when {
            request.excess == 0 -> true
            request.objectiveLeft <= Duration.ZERO -> request.excess <= LATE_QUEUE_LIMIT
            else -> request.expected <= request.objectiveLeft
        }

    private fun takeTurn(
        request: RoomRequest,
        share: Double,
    ): Boolean {
        val kind = request.service to request.kind
        if (share >= 1.0) {
            turns -= kind
            return true
        }
        if (turns.size > MAXIMUM_KINDS) turns.clear()
        val present = (turns[kind] ?: random.nextDouble()) + share
        val needed = if (request.isReturned) 1.0 - TURNS_IN_ADVANCE else 1.0
        val isTaken = present >= needed
        turns[kind] = if (isTaken) present - 1.0 else present
        return isTaken
    }

    private fun margin(service: String): FinishMargin {
        if (margins.size > MAXIMUM_KINDS) margins.clear()
        return margins.getOrPut(service) { FinishMargin(clock) }
    }

    private companion object {
        /** The time at a clear slot, in multiples of the work; a nearly full target takes 1.3 times as long or more. */
        const val CLEAR_SLOT_FACTOR = 1.25

        /** The longest queue, in slots lacking, that a request joins after its objective has passed. */
        const val LATE_QUEUE_LIMIT = 1

        /** The turns that callers who have come back may take before new ones have earned them. */
        const val TURNS_IN_ADVANCE = 2.0

        /** Tables are cleared when they exceed this size, which drops services and routes that no longer exist. */
        const val MAXIMUM_KINDS = 10_000
    }
}

/**
 * The delay after which the caller of a refused [request] is to return, between one and two times a base; [spread] is from 0 to 1.
 *
 * The base grows with the time by which the target found is too slow and with the share of the kind that yields, so that urgent callers
 * return first. The delay is at most a third of the time that the caller has left, since callers do not wait longer, and at most
 * [LONGEST_RETRY_DELAY]; without any time left it is zero.
 */
internal fun retryDelay(
    request: RoomRequest,
    share: Double,
    spread: Double,
): Duration {
    // Probes and an event loop that is late may outlast the time left.
    val objectiveLeft = request.objectiveLeft.coerceIn(Duration.ZERO, request.timeLeft.coerceAtLeast(Duration.ZERO))
    val shortfall = (request.expected - objectiveLeft).coerceAtLeast(Duration.ZERO)
    val longest = minOf(request.callerTimeLeft / LONGEST_SHARE_OF_TIME, LONGEST_RETRY_DELAY)
    val base = maxOf(shortfall, longest * (1.0 - share), SHORTEST_RETRY_DELAY)
    return minOf(base * (1.0 + spread), longest * (SMALLEST_SPREAD_SHARE + (1.0 - SMALLEST_SPREAD_SHARE) * spread))
        .coerceAtLeast(Duration.ZERO)
}

/** Callers wait at most this part of the time they have left. */
private const val LONGEST_SHARE_OF_TIME = 3

/** Bursts last for seconds: callers with much time return while theirs goes on, or soon after it. */
private val LONGEST_RETRY_DELAY = 1600.milliseconds

/** Where the longest delay is the bound, callers are spread over the later half of it. */
private const val SMALLEST_SPREAD_SHARE = 0.5

/** About the time that a slot takes to become free. */
private val SHORTEST_RETRY_DELAY = 60.milliseconds
