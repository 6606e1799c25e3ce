package dev.goldcrestquay.routing

import dev.goldcrestquay.overload.RoomDecision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The input of an admission decision.
 *
 * @property expected the time that the best target found is expected to take, its queue included.
 * @property excess the number of slots that this target lacks to start the request at once; 0 when a slot is free.
 * @property objectiveLeft what remains of the latency objective, counted from the caller's first attempt; negative once it has passed.
 * @property timeLeft the time until the caller's deadline or the route's timeout.
 * @property priority the route's priority; lower values are more urgent.
 */
public data class AdmissionView(
    val expected: Duration,
    val excess: Int,
    val objectiveLeft: Duration,
    val timeLeft: Duration,
    val priority: Int,
)

/** The result of an admission decision. */
public sealed interface Admission {
    /** The request is sent now. */
    public data object Admitted : Admission

    /** The request is refused at once; the caller may retry after [retryAfter]. [room] tells why where services share scarce room. */
    public data class Refused(
        val retryAfter: Duration,
        val room: RoomDecision.Refused? = null,
    ) : Admission
}

/**
 * Decides whether a request is sent now or refused with a retry delay.
 *
 * Sheds load when a burst exceeds the targets' capacity. Unbounded queues make every answer late, so a request joins a queue only
 * while it can still meet its latency objective, and less urgent routes stop queueing first. A request that cannot meet its
 * objective is refused, to be retried when the peak may have passed; once its objective has passed, it may take a free slot or
 * join a short queue. A request that gets a free slot is always admitted.
 */
public fun admit(view: AdmissionView): Admission {
    val shortfall = view.expected - view.timeLeft
    if (shortfall > Duration.ZERO && view.excess > 0) return Admission.Refused(maxOf(shortfall, SHORT_RETRY_DELAY))
    if (view.excess == 0) return Admission.Admitted
    if (view.objectiveLeft <= Duration.ZERO) {
        return if (view.excess <= LATE_QUEUE_LIMIT) Admission.Admitted else Admission.Refused(LONG_RETRY_DELAY)
    }
    val share = if (view.priority <= URGENT_PRIORITY) 1.0 else LESS_URGENT_OBJECTIVE_SHARE
    if (view.expected <= view.objectiveLeft * share) return Admission.Admitted
    return Admission.Refused(LONG_RETRY_DELAY)
}

/** Routes with a priority up to this value count as urgent. */
private const val URGENT_PRIORITY = 1

/** Less urgent routes join a queue only if the expected time fits into this share of what remains of their objective. */
private const val LESS_URGENT_OBJECTIVE_SHARE = 0.85

/** The longest queue, in slots lacking, that a request joins after its objective has passed. */
private const val LATE_QUEUE_LIMIT = 1

/** The shortest retry delay after a refusal for lack of time: about one service time. */
private val SHORT_RETRY_DELAY = 150.milliseconds

/** The retry delay after a refusal for a full queue: peaks last for seconds, and callers wait at most a third of their deadline. */
private val LONG_RETRY_DELAY = 500.milliseconds

/**
 * Estimates how long ago a caller made its first attempt, from the deadline that the request states.
 *
 * Requests do not say that they are retries, but the first attempts of all callers on a route state the same deadline, and a
 * retry states a shorter one. The difference to the longest deadline seen on the route is the caller's age.
 */
public class CallerAgeEstimator {
    private val longestDeadlines = HashMap<String, Duration>()

    /** Returns the time since the caller's first attempt, given the [deadline] of this attempt on [route]. */
    public fun estimate(
        route: String,
        deadline: Duration?,
    ): Duration {
        if (deadline == null) return Duration.ZERO
        val longestDeadline = longestDeadlines[route] ?: Duration.ZERO
        if (deadline > longestDeadline) {
            if (longestDeadlines.size > MAXIMUM_ROUTES) longestDeadlines.clear()
            longestDeadlines[route] = deadline
        }
        return (longestDeadline - deadline).coerceAtLeast(Duration.ZERO)
    }

    private companion object {
        /** The table is cleared when it exceeds this size, which drops routes that no longer exist. */
        const val MAXIMUM_ROUTES = 10_000
    }
}
