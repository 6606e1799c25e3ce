package dev.goldcrestquay.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What it is decided by whether a request is sent now.
 *
 * @property expected how long the best target found is expected to take.
 * @property excess the slots that this target lacks for the request.
 * @property objectiveLeft what is left of the latency objective since the caller's first attempt; negative when it has passed.
 * @property timeLeft what is left until the caller or the route gives up.
 */
public data class AdmissionView(
    val expected: Duration,
    val excess: Int,
    val objectiveLeft: Duration,
    val timeLeft: Duration,
    val priority: Int,
)

/** Whether a request is sent now. */
public sealed interface Admission {
    /** It is sent. */
    public data object Admitted : Admission

    /** It is refused at once; the caller may come back after [retryAfter]. */
    public data class Refused(
        val retryAfter: Duration,
    ) : Admission
}

/**
 * Decides whether a request is sent now or comes back later.
 *
 * Answers a burst over the targets' capacity. Queues that are let grow make every answer late, so a request joins one only while
 * it can still meet its objective, and less urgent routes stop joining first. Whoever cannot meet it comes back when the peak
 * may have passed, and then takes a free slot or a short queue. A free slot is never refused, unless the time does not suffice.
 */
public fun admit(view: AdmissionView): Admission {
    val short = view.expected - view.timeLeft
    if (short > Duration.ZERO && view.excess > 0) return Admission.Refused(maxOf(short, SHORT_RETURN))
    if (view.excess == 0) return Admission.Admitted
    if (view.objectiveLeft <= Duration.ZERO) {
        return if (view.excess <= LATE_QUEUE) Admission.Admitted else Admission.Refused(LONG_RETURN)
    }
    val share = if (view.priority <= URGENT_PRIORITY) 1.0 else LESS_URGENT_SHARE
    if (view.expected <= view.objectiveLeft * share) return Admission.Admitted
    return Admission.Refused(LONG_RETURN)
}

/** Routes up to this rank count as urgent. */
private const val URGENT_PRIORITY = 1

/** Less urgent routes join a queue only while they have this part of their objective to spare. */
private const val LESS_URGENT_SHARE = 0.85

/** Callers whose objective has passed join no longer queue than this. */
private const val LATE_QUEUE = 1

/** The return after a refusal for a lack of time: about one service time. */
private val SHORT_RETURN = 150.milliseconds

/** The return after a refusal for a full queue: peaks last for seconds, and callers honour up to a third of their time. */
private val LONG_RETURN = 500.milliseconds

/**
 * Tells how long a caller has been trying, from the deadline that it states.
 *
 * Attempts do not say that they are repeats, but a caller's first attempts on a route all state the same, longest deadline.
 */
public class CallerAge {
    private val longest = HashMap<String, Duration>()

    /** How long ago the caller began, given the [deadline] of this attempt on [route]. */
    public fun of(
        route: String,
        deadline: Duration?,
    ): Duration {
        if (deadline == null) return Duration.ZERO
        val known = longest[route] ?: Duration.ZERO
        if (deadline > known) {
            if (longest.size > LARGEST_TABLE) longest.clear()
            longest[route] = deadline
        }
        return (known - deadline).coerceAtLeast(Duration.ZERO)
    }

    private companion object {
        /** Routes that are gone are forgotten beyond this many. */
        const val LARGEST_TABLE = 10_000
    }
}
