package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.FleetMember
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.organisation.CallerCredentials
import dev.goldcrestquay.organisation.CallerOrganisation
import dev.goldcrestquay.overload.RoomDecision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The outcome of forwarding a request. */
public sealed interface ForwardOutcome<out Reply> {
    /** A target answered, possibly with a failure of its own; [target] is null when a peer sent it the request. */
    public data class Answered<Reply>(
        val reply: Reply,
        val target: RegisteredTarget?,
    ) : ForwardOutcome<Reply>

    /**
     * No target has run the request, and none will.
     *
     * @property retryAfter the delay after which a retry by the caller may succeed.
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

/** The reply to a probe: the target's load and the open connection it came over, which the request can be sent on. */
public class ProbeResult<Connection>(
    public val sample: LoadSample,
    public val connection: Connection,
)

/**
 * Where a request is to be sent.
 *
 * @property connection the connection to use, or null to open a new one.
 * @property remaining the time left.
 * @property confirm must be called once the connection is open; if it returns false, the target may no longer get the request, which
 *   ends with [dev.goldcrestquay.link.Refusal.WITHDRAWN].
 * @property callerOrganisation returns for whom the request is run; to be asked after [confirm].
 */
public class Dispatch<Connection>(
    public val target: RegisteredTarget,
    public val connection: Connection?,
    public val remaining: Duration,
    public val callerOrganisation: () -> CallerOrganisation = { CallerOrganisation.Unused },
    public val confirm: suspend () -> Boolean,
)

/**
 * One request to forward on the platform. Its content is held by [send]. A [Call] is the counterpart of the project's own interface.
 *
 * @property host the host without the port.
 * @property path the path without the query.
 * @property deadline how long the caller waits, counted from [arrivedAt]; null if the request states no deadline.
 * @property send sends the request; see [Dispatch].
 * @property relay has a peer serve the request; the peer relays it to nobody.
 * @property credentials by what its caller is identified where the plan names organisations.
 * @property origin what the entry VM said that relays this request to this one, or null when it came from the caller.
 * @param computeFingerprint returns a hash of the method, host, path, query and body: the same for each attempt at the same request.
 */
public class ForwardRequest<Connection, Reply>(
    public val id: String,
    public val host: String,
    public val path: String,
    public val bodyBytes: Int,
    public val arrivedAt: Duration,
    public val deadline: Duration?,
    public val send: suspend (Dispatch<Connection>) -> SendResult<Reply>,
    public val relay: suspend (FleetMember, RelayTerms) -> ForwardOutcome<Reply> = { _, _ -> UNAVAILABLE_PEER },
    public val origin: RelayTerms? = null,
    public val credentials: CallerCredentials = CallerCredentials(origin?.caller),
    computeFingerprint: () -> Long,
) {
    /** Identifies what is asked for: the same when a caller asks again, also at another entry VM. */
    public val fingerprint: Long by lazy(LazyThreadSafetyMode.NONE, computeFingerprint)

    /** Whether the caller still waits; once it has left, no further attempt is sent. */
    public var isCallerWaiting: Boolean = true

    /** Whether forwarding may be cancelled when the caller leaves: not while a target may be running a non-idempotent request. */
    public var isCancellable: Boolean = true
        internal set

    public companion object {
        /** The outcome of a relay to a peer that could not be reached. */
        public val UNAVAILABLE_PEER: ForwardOutcome.NotRun = ForwardOutcome.NotRun(ResultCode.NOT_READY, 60.milliseconds)
    }
}

/** How many [crashes] in a row are known of the request with a [fingerprint]; see [CrashTable]. */
public data class CrashCount(
    val fingerprint: Long,
    val crashes: Int,
)

/** A decision about a request, for logs and metrics. */
public sealed interface ForwardEvent {
    /** The request's identifier. */
    public val request: String

    /**
     * A target was chosen and the request sent.
     *
     * @property attempt the number of the attempt, from 1.
     * @property expectedFactor the expected time of the request, in multiples of its usual service time.
     * @property probes the number of targets probed.
     * @property planVersion the version of the plan in force, or -1 if there is none.
     * @property factsAge the staleness of the records that the decision is based on.
     * @property remaining the time left until the caller's deadline or the route's timeout.
     * @property organisation the name of the caller's organisation, or null.
     */
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
        val organisation: String? = null,
    ) : ForwardEvent

    /**
     * Admission control refused the request.
     *
     * @property view the input of the admission decision.
     * @property target the best target found.
     * @property expectedFactor the expected time at that target, in multiples of the usual service time.
     * @property probes the number of targets probed.
     * @property room why the request got no room, where services share scarce room; else null.
     * @property organisation the name of the caller's organisation, or null.
     */
    public data class Refused(
        override val request: String,
        val route: String,
        val view: AdmissionView,
        val target: RegisteredTarget,
        val expectedFactor: Double,
        val probes: Int,
        val retryAfter: Duration,
        val room: RoomDecision.Refused? = null,
        val organisation: String? = null,
    ) : ForwardEvent

    /** The answer to a request named another limit than before: requests per second from all entry VMs, or null when it was lifted. */
    public data class RequestLimitChanged(
        override val request: String,
        val target: RegisteredTarget,
        val limit: Double?,
    ) : ForwardEvent

    /**
     * An attempt ended at its target.
     *
     * @property result `replied`, `failed`, or the name of the refusal or result code.
     * @property crashCount the targets that ended under this request, when this one did; otherwise null.
     */
    public data class AttemptEnded(
        override val request: String,
        val target: RegisteredTarget,
        val result: String,
        val took: Duration,
        val crashCount: CrashCount? = null,
    ) : ForwardEvent

    /**
     * The request was sent to a second target while an attempt was under way; the event [Sent] says to which.
     *
     * @property elapsed how long the attempt had lasted.
     * @property usual the time within which nearly all attempts on the route end.
     */
    public data class SentTwice(
        override val request: String,
        val route: String,
        val elapsed: Duration,
        val usual: Duration?,
    ) : ForwardEvent

    /** The two attempts under way ended: `FIRST` or `SECOND` had a good answer and the other was cancelled, or `NONE` had one. */
    public data class SentTwiceEnded(
        override val request: String,
        val route: String,
        val winner: String,
    ) : ForwardEvent

    /** The request came [from] another entry VM, which is cut off from the targets. */
    public data class RelayReceived(
        override val request: String,
        val from: String,
        val elapsed: Duration,
        val attempts: Int,
    ) : ForwardEvent

    /** The request was relayed to [peer], since this entry VM is cut off from the targets; the outcome is `ANSWERED` or a result code's name. */
    public data class Relayed(
        override val request: String,
        val peer: String,
        val outcome: String,
        val took: Duration,
    ) : ForwardEvent

    /**
     * The request ended.
     *
     * @property outcome `ANSWERED` or the name of the result code's kind.
     * @property late whether the request took longer than the route's latency objective.
     * @property organisation the name of the caller's organisation, or null.
     */
    public data class Ended(
        override val request: String,
        val route: String?,
        val service: String?,
        val outcome: String,
        val code: ResultCode?,
        val took: Duration,
        val late: Boolean,
        val organisation: String? = null,
    ) : ForwardEvent
}
