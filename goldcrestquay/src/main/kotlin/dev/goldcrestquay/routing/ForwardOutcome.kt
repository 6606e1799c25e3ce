package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.RegisteredTarget
import kotlin.time.Duration

/** How forwarding a request ended: exactly one of these. */
public sealed interface ForwardOutcome<out Reply> {
    /** A target answered. */
    public data class Answered<Reply>(
        val reply: Reply,
        val target: RegisteredTarget,
    ) : ForwardOutcome<Reply>

    /**
     * No target has run the request, and none will.
     *
     * @property retryAfter when the caller may come back with a chance.
     */
    public data class NotRun(
        val code: ResultCode,
        val retryAfter: Duration,
    ) : ForwardOutcome<Nothing>

    /** The request may have run. */
    public data class Unknown(
        val code: ResultCode,
    ) : ForwardOutcome<Nothing>
}

/** A target's load with the open connection that told it, ready for the request itself. */
public class ProbeResult<Connection>(
    public val sample: LoadSample,
    public val connection: Connection,
)

/**
 * One request to forward; the functions hold its content.
 *
 * @property host the host without a port.
 * @property path the path without its query.
 * @property deadline how long the caller waits, from [arrivedAt] on.
 * @property send sends the request over an open connection, or a new one when that is null; the duration is what is left.
 */
public class ForwardRequest<Connection, Reply>(
    public val id: String,
    public val host: String,
    public val path: String,
    public val bodyBytes: Int,
    public val arrivedAt: Duration,
    public val deadline: Duration?,
    public val send: suspend (RegisteredTarget, Connection?, Duration) -> SendResult<Reply>,
) {
    /** Whether the caller still waits; nothing more is sent for one that has left. */
    public var isCallerWaiting: Boolean = true

    /** Whether the work may be broken off when the caller leaves: not while a target may be running what must run once. */
    public var isCancellable: Boolean = true
        internal set
}

/** A decision about a request, for logs and metrics. */
public sealed interface ForwardEvent {
    /** The request's identifier. */
    public val request: String

    /** A target was chosen and the request sent. */
    public data class Sent(
        override val request: String,
        val route: String,
        val attempt: Int,
        val target: RegisteredTarget,
        val expectedFactor: Double,
        val probes: Int,
        val planVersion: Long,
        val factsAge: Duration,
        val remaining: Duration,
    ) : ForwardEvent

    /** A request was refused by admission. */
    public data class Refused(
        override val request: String,
        val route: String,
        val view: AdmissionView,
        val target: RegisteredTarget,
        val expectedFactor: Double,
        val probes: Int,
        val retryAfter: Duration,
    ) : ForwardEvent

    /** An attempt ended. */
    public data class AttemptEnded(
        override val request: String,
        val target: RegisteredTarget,
        val result: String,
        val took: Duration,
    ) : ForwardEvent

    /** The request ended. */
    public data class Ended(
        override val request: String,
        val route: String?,
        val service: String?,
        val outcome: String,
        val code: ResultCode?,
        val took: Duration,
        val late: Boolean,
    ) : ForwardEvent
}
