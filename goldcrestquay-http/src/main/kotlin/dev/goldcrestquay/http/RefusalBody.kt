package dev.goldcrestquay.http

import dev.goldcrestquay.contract.Outcome
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.ResultKind
import kotlinx.serialization.Serializable

/** The body of an answer that no target gave. */
@Serializable
data class RefusalBody(
    val code: Int,
    val outcome: String,
    val summary: String,
    val action: String,
) {
    companion object {
        /** The refusal that [code] stands for. */
        fun of(code: ResultCode): RefusalBody {
            val outcome = if (code.kind == ResultKind.NOT_RUN) "not-run" else "unknown"
            return RefusalBody(code.number, outcome, code.summary, code.action)
        }
    }
}

/** The result code of an outcome without an answer. */
val Outcome<*>.code: ResultCode?
    get() =
        when (this) {
            is Outcome.Answered -> null
            is Outcome.NotRun -> code
            is Outcome.Unknown -> code
        }

/** The HTTP status that goes with this code. */
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
