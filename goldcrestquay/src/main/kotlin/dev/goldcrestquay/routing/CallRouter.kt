package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.Outcome
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.Attempt
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendAttempt
import dev.goldcrestquay.link.SendResult
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The properties of a call that routing depends on.
 *
 * @property idempotent whether the call may run twice.
 * @property deadline the time on the router's clock by which the answer must have arrived.
 * @property attempts the number of attempts that earlier hops have left to this one.
 * @property resendable whether the request can be sent again, because its body has been kept.
 * @property route the index of the service's route that the call matches, or [NO_ROUTE].
 */
public data class Call(
    val service: String,
    val idempotent: Boolean,
    val deadline: Duration,
    val attempts: Int = Int.MAX_VALUE,
    val resendable: Boolean = true,
    val route: Int = NO_ROUTE,
)

/** The route index of calls that match no route of their service. */
public const val NO_ROUTE: Int = -1

/**
 * Sends calls to targets and retries them.
 *
 * A call that is not idempotent is retried only after a refusal that proves it did not run.
 *
 * @property observe receives every decision, for metrics and spans.
 */
public class CallRouter(
    private val table: ServiceTable,
    private val settings: RoutingSettings,
    private val clock: Clock,
    private val observe: (RoutingEvent) -> Unit = {},
) {
    private val budget = RetryBudget(settings.retryShare, settings.retryReserve)

    /** Sends [call] with [send], retries it where that is safe, and returns its outcome. */
    public suspend fun <Reply> call(
        call: Call,
        send: SendAttempt<Reply>,
    ): Outcome<Reply> {
        budget.recordCall()
        val attempts = minOf(settings.attempts, call.attempts).coerceAtLeast(1)
        val tried = mutableSetOf<String>()
        var number = 1
        var mayHaveRun: ResultCode? = null
        while (true) {
            val choice = table.reserve(call.deadline - clock(), tried)
            if (choice is Choice.Refused) return refused(call, codeFor(choice, tried), mayHaveRun)
            val ticket = choice as Choice.Reserved
            val attempt = Attempt(number, call.deadline - clock(), attempts - number)
            observe(RoutingEvent.Sent(call.service, ticket.target, attempt, ticket.expectedWait))
            val result = send(ticket, call, attempt, send) ?: return Outcome.Unknown(ResultCode.DEADLINE_EXCEEDED)
            val outcome = conclude(result, ticket, call, number, attempts)
            if (outcome is Outcome.NotRun) return refused(call, outcome.code, mayHaveRun)
            if (outcome != null) return outcome
            if (result is SendResult.Broken) mayHaveRun = result.code
            observe(RoutingEvent.Retried(call.service, ticket.target))
            tried += ticket.target.name
            number++
        }
    }

    /** Returns [Outcome.NotRun] only if no attempt of the call may have run; [mayHaveRun] is the failure of one that may have. */
    private fun refused(
        call: Call,
        code: ResultCode,
        mayHaveRun: ResultCode?,
    ): Outcome<Nothing> {
        observe(RoutingEvent.Refused(call.service, mayHaveRun ?: code))
        return mayHaveRun?.let { Outcome.Unknown(it) } ?: Outcome.NotRun(code)
    }

    private suspend fun <Reply> send(
        ticket: Choice.Reserved,
        call: Call,
        attempt: Attempt,
        send: SendAttempt<Reply>,
    ): SendResult<Reply>? {
        val result =
            try {
                withTimeoutOrNull(attempt.remaining) { send(ticket.target, attempt) }
            } catch (exception: CancellationException) {
                table.complete(ticket, AttemptEnd.Cancelled)
                throw exception
            }
        if (result == null) recordBroken(ticket, call)
        return result
    }

    /** Returns the outcome of the call, or null if it is to be retried. */
    private fun <Reply> conclude(
        result: SendResult<Reply>,
        ticket: Choice.Reserved,
        call: Call,
        number: Int,
        attempts: Int,
    ): Outcome<Reply>? =
        when (result) {
            is SendResult.Replied -> answered(result, ticket, call)
            is SendResult.Refused -> {
                table.complete(ticket, AttemptEnd.Refused(result.refusal, result.report))
                val mayRetry = result.refusal != Refusal.EXHAUSTED && call.resendable && number < attempts
                when {
                    !mayRetry -> Outcome.NotRun(ResultCode.ATTEMPTS_EXHAUSTED)
                    budget.tryTake() -> null
                    else -> Outcome.NotRun(ResultCode.RETRY_BUDGET_EMPTY)
                }
            }
            is SendResult.Broken -> {
                recordBroken(ticket, call)
                val mayRetry = call.idempotent && call.resendable && number < attempts && call.deadline > clock()
                if (mayRetry && budget.tryTake()) null else Outcome.Unknown(result.code)
            }
        }

    private fun <Reply> answered(
        result: SendResult.Replied<Reply>,
        ticket: Choice.Reserved,
        call: Call,
    ): Outcome.Answered<Reply> {
        val finished = AtomicBoolean()
        return Outcome.Answered(result.reply, ticket.target) { isComplete ->
            if (finished.compareAndSet(false, true)) {
                val end = if (isComplete) AttemptEnd.Answered(result.failed, result.report) else AttemptEnd.Broken
                table.complete(ticket, end)
                reportEnd(ticket, call, failed = result.failed || !isComplete)
            }
        }
    }

    private fun recordBroken(
        ticket: Choice.Reserved,
        call: Call,
    ) {
        table.complete(ticket, AttemptEnd.Broken)
        reportEnd(ticket, call, failed = true)
    }

    private fun reportEnd(
        ticket: Choice.Reserved,
        call: Call,
        failed: Boolean,
    ) {
        val milliseconds = clock().toDouble(DurationUnit.MILLISECONDS) - ticket.sentAt
        observe(RoutingEvent.Ended(call.service, ticket.target, call.route, failed, milliseconds))
    }

    private fun codeFor(
        choice: Choice.Refused,
        tried: Set<String>,
    ): ResultCode = if (tried.isNotEmpty() && choice.code == ResultCode.NO_TARGET) ResultCode.ATTEMPTS_EXHAUSTED else choice.code
}
