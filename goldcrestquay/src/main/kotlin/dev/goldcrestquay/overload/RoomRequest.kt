package dev.goldcrestquay.overload

import kotlin.time.Duration

/**
 * How urgent a kind of request is at one service; the lowest rank is the last to yield.
 *
 * @property priority the route's priority, or that of the caller's organisation; lower values are more urgent.
 * @property isSpill whether the service only takes what another service of the route leaves over.
 */
public data class RequestRank(
    val priority: Int,
    val isSpill: Boolean,
) : Comparable<RequestRank> {
    override fun compareTo(other: RequestRank): Int = compareValuesBy(this, other, { it.priority }, { it.isSpill })
}

/**
 * A request that asks for room at a service's targets.
 *
 * @property isFirstAttempt whether this entry VM has not sent the request yet.
 * @property isReturned whether the caller was refused or failed before and has come back.
 * @property expected the time that the best target found is expected to take, its queue included.
 * @property work the time that a target with nothing else to do takes.
 * @property excess the number of slots that the target lacks to start the request at once.
 * @property objectiveLeft what remains of the latency objective since the caller's first attempt; negative once it has passed.
 * @property timeLeft the time until the caller's deadline or the route's timeout.
 * @property callerTimeLeft the time until the caller's deadline.
 */
public data class RoomRequest(
    val service: String,
    val route: String,
    val rank: RequestRank,
    val isFirstAttempt: Boolean,
    val isReturned: Boolean,
    val expected: Duration,
    val work: Duration,
    val excess: Int,
    val objectiveLeft: Duration,
    val timeLeft: Duration,
    val callerTimeLeft: Duration,
)

/** Why a request got no room. */
public enum class RoomRefusalReason {
    /** It would not end within its time. */
    NO_TIME,

    /** It would wait past its latency objective. */
    NO_ROOM,

    /** It yields to more urgent requests of the same service. */
    YIELDS,
}

/** The result of a decision about room. */
public sealed interface RoomDecision {
    /** The request is sent now. */
    public data object Admitted : RoomDecision

    /**
     * The request is refused at once; the caller may return after [retryAfter], which is spread already.
     *
     * @property expected the time that the best target found is expected to take by its load alone.
     * @property share the share of the requests of this kind that the service takes at present.
     * @property pressure the share of the requests let through that found no room, as this entry VM sees it.
     * @property margin the factor on the expected time within which nine of ten requests of the service end.
     */
    public data class Refused(
        val reason: RoomRefusalReason,
        val retryAfter: Duration,
        val expected: Duration,
        val share: Double,
        val pressure: Double,
        val margin: Double,
    ) : RoomDecision
}
