package dev.goldcrestquay.link

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.Target
import kotlin.time.Duration

/**
 * What a target of an environment reports about itself with an answer or in reply to a probe; on the platform, a `LoadSample`.
 *
 * @property inFlight the number of calls in progress or queued at the target, without the one being answered.
 * @property startEpoch a number that changes with each start of the target, or null when not reported.
 * @property uptimeMilliseconds the time since the start of the target, or null when not reported.
 */
public data class LoadReport(
    val inFlight: Int,
    val startEpoch: Long? = null,
    val uptimeMilliseconds: Long? = null,
)

/**
 * One attempt to send a call.
 *
 * @property number 1 for the first attempt.
 * @property remaining the time left until the call's deadline.
 * @property attemptsLeft the number of attempts that hops behind the target may still make.
 */
public data class Attempt(
    val number: Int,
    val remaining: Duration,
    val attemptsLeft: Int,
)

/** Why a target refused a call without running it. */
public enum class Refusal {
    /** The connection was refused before the first byte. */
    CONNECTION_REFUSED,

    /** The target is draining before it stops. */
    DRAINING,

    /** The target is over its capacity and sheds load. */
    SHEDDING,

    /** A hop behind the target has no attempts left or is overloaded; a retry would amplify the load. */
    EXHAUSTED,

    /** The target left before the request was sent to it; nothing was sent. */
    WITHDRAWN,
}

/** The result of sending a call to a target. */
public sealed interface SendResult<out Reply> {
    /**
     * The target answered; the body may not be complete yet.
     *
     * @property failed whether the answer counts as a failure of the target.
     * @property bodyBytes the size of the answer's body as far as it is known, or 0.
     * @property requestLimit the requests per second that the target takes from all callers together, or null when it names no limit.
     */
    public data class Replied<Reply>(
        val reply: Reply,
        val failed: Boolean = false,
        val report: LoadReport? = null,
        val bodyBytes: Long = 0,
        val requestLimit: Double? = null,
    ) : SendResult<Reply>

    /** The call provably did not run; [requestLimit] as in an answer. */
    public data class Refused(
        val refusal: Refusal,
        val report: LoadReport? = null,
        val requestLimit: Double? = null,
    ) : SendResult<Nothing>

    /** The call may have run, but no answer arrived. */
    public data class Broken(
        val code: ResultCode = ResultCode.CONNECTION_LOST,
    ) : SendResult<Nothing>
}

/** Sends one attempt of a call to a target. */
public typealias SendAttempt<Reply> = suspend (Target, Attempt) -> SendResult<Reply>
