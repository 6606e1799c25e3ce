package dev.goldcrestquay.http

import dev.goldcrestquay.contract.Outcome
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.ResultKind
import kotlinx.serialization.Serializable

/**
 * The JSON body of a response to a call that no target answered.
 *
 * @property code the number of the result code.
 * @property outcome `not-run` when the call provably did not run, otherwise `unknown`.
 * @property summary what happened.
 * @property action what the caller or an operator can do next.
 */
@Serializable
data class RefusalBody(
    val code: Int,
    val outcome: String,
    val summary: String,
    val action: String,
) {
    companion object {
        /** Creates the body for [code]. */
        fun of(code: ResultCode): RefusalBody {
            val outcome = if (code.kind == ResultKind.NOT_RUN) "not-run" else "unknown"
            return RefusalBody(code.number, outcome, code.summary, code.action)
        }
    }
}

/** The result code of this outcome, or null when a target answered. */
val Outcome<*>.code: ResultCode?
    get() =
        when (this) {
            is Outcome.Answered -> null
            is Outcome.NotRun -> code
            is Outcome.Unknown -> code
        }

/** The HTTP status of a response with this result code. */
val ResultCode.httpStatus: Int
    get() =
        when (this) {
            ResultCode.BAD_REQUEST -> 400
            ResultCode.UNKNOWN_SERVICE -> 404
            ResultCode.FIRST_ATTEMPT_RAN, ResultCode.KEY_FENCED, ResultCode.KEY_REUSED -> 409
            ResultCode.BODY_TOO_LARGE -> 413
            ResultCode.CONNECTION_LOST, ResultCode.ANSWER_TRUNCATED, ResultCode.FIRST_ENTRY_UNREACHABLE -> 502
            ResultCode.DEADLINE_PASSED, ResultCode.DEADLINE_EXCEEDED -> 504
            else -> 503
        }
