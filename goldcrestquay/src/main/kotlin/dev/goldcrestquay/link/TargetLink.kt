package dev.goldcrestquay.link

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.Target
import kotlin.time.Duration

/**
 * What a target says about itself with an answer or a probe.
 *
 * @property inFlight the calls it holds, queued ones included, without the one answered.
 * @property startEpoch a number that changes at each start of the target, or null when it does not say.
 * @property uptimeMilliseconds how long the target says it has been running, or null.
 */
public data class LoadReport(
    val inFlight: Int,
    val startEpoch: Long? = null,
    val uptimeMilliseconds: Long? = null,
)

/**
 * One sending of a call.
 *
 * @property number 1 for the first attempt.
 * @property remaining what is left of the call's deadline.
 * @property attemptsLeft the attempts that hops behind the target may still use.
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

    /** The target is leaving. */
    DRAINING,

    /** The target is over its capacity. */
    SHEDDING,

    /** A hop behind the target used up its attempts or is overloaded; sending again would amplify the load. */
    EXHAUSTED,
}

/** What came of sending a call to a target. */
public sealed interface SendResult<out Reply> {
    /**
     * The target answered; the body may still be on its way.
     *
     * @property failed whether the answer counts as a fault of the target.
     */
    public data class Replied<Reply>(
        val reply: Reply,
        val failed: Boolean = false,
        val report: LoadReport? = null,
    ) : SendResult<Reply>

    /** The call provably did not run. */
    public data class Refused(
        val refusal: Refusal,
        val report: LoadReport? = null,
    ) : SendResult<Nothing>

    /** The call may have run and no answer came. */
    public data class Broken(
        val code: ResultCode = ResultCode.CONNECTION_LOST,
    ) : SendResult<Nothing>
}

/** Sends one attempt of a call to a target. */
public typealias SendAttempt<Reply> = suspend (Target, Attempt) -> SendResult<Reply>
