package dev.goldcrestquay.routing

import dev.goldcrestquay.link.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The planned stop of this entry VM: when its process exits, and which requests it still takes until then.
 *
 * Callers go on using the address of a leaving entry VM for a while, and are served. Then only requests whose time ends before the exit
 * are taken: a refusal costs a caller one more connection, while a request that the exit cuts off may have run.
 *
 * @param grace how long the process may go on running after it was asked to stop; may change while it runs.
 */
public class PlannedStop(
    private val clock: Clock,
    private val grace: () -> Duration,
) {
    private var begunAt: Duration? = null
    private var hasEnded = false

    private val elapsed: Duration? get() = begunAt?.let { clock() - it }

    /** Whether the process has been asked to stop. */
    public val hasBegun: Boolean get() = begunAt != null

    /** Whether only requests are taken that end before the exit. */
    public val isRefusing: Boolean get() = hasEnded || elapsed?.let { it >= openDuration() } ?: false

    /** The time until the process exits, not positive once it is due; infinite unless it has been asked to stop. */
    public val timeLeft: Duration
        get() = if (hasEnded) Duration.ZERO else elapsed?.let { grace() - EXIT_DURATION - it } ?: Duration.INFINITE

    /** Begins to stop; does nothing when the stop has begun already. */
    public fun begin() {
        if (begunAt == null) begunAt = clock()
    }

    /** Ends the stop, since the process exits now: no request is taken any more, as the exit would cut it off. */
    public fun end() {
        hasEnded = true
    }

    /** Whether to send on a request that may take [remaining] until its caller's deadline or its route's timeout. */
    public fun allows(remaining: Duration): Boolean = !isRefusing || remaining + ANSWER_DURATION <= timeLeft

    private fun openDuration(): Duration = minOf(MAXIMUM_OPEN_DURATION, grace() / 2)

    public companion object {
        /** The delay after which callers that a leaving entry VM refuses may ask again: another entry VM serves them at once. */
        public val RETRY_DELAY: Duration = 20.milliseconds

        /** How long all requests are taken: a little longer than callers use the directory response that named this entry VM. */
        private val MAXIMUM_OPEN_DURATION = 2800.milliseconds

        /** The process exits this long before the grace period ends. */
        private val EXIT_DURATION = 300.milliseconds

        /** The time between the end of a request's time limit and the end of its answer to the caller. */
        private val ANSWER_DURATION = 150.milliseconds
    }
}
