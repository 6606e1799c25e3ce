package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.spread.SecondSend
import dev.goldcrestquay.spread.SecondSendView
import dev.goldcrestquay.spread.UsualTimes
import dev.goldcrestquay.spread.decideSecondSend
import dev.goldcrestquay.spread.race
import dev.goldcrestquay.spread.secondSendShare
import kotlinx.coroutines.delay
import kotlin.time.Duration

/**
 * The outcome of one attempt, or of two that were under way together.
 *
 * @property mayRetry whether the request may go to another target: false after a good answer.
 * @property targetsReached the attempts that count towards the route's maximum.
 * @property unreachable those of them whose target refused the connection.
 */
internal class SendOutcome<Reply>(
    val outcome: ForwardOutcome<Reply>,
    val mayRetry: Boolean,
    val targetsReached: Int = 1,
    val unreachable: Int = 0,
)

/** Combines the outcomes of two attempts: once a request may have run, its outcome is never [ForwardOutcome.NotRun]. */
internal fun <Reply> combineOutcomes(
    earlier: ForwardOutcome<Reply>,
    newer: ForwardOutcome<Reply>,
): ForwardOutcome<Reply> = if (newer is ForwardOutcome.NotRun && earlier !is ForwardOutcome.NotRun) earlier else newer

/**
 * One attempt beside which a second may be made.
 *
 * @property startedAt the time at which the attempt began.
 * @property expected the time that it is expected to take.
 * @property attemptsLeft the further targets that the request may be sent to.
 * @property remaining the time left until the caller's deadline or the route's timeout.
 */
internal class SecondSendTerms(
    val request: String,
    val route: String,
    val service: String,
    val startedAt: Duration,
    val expected: Duration,
    val attemptsLeft: Int,
    val remaining: () -> Duration,
) {
    /** Whether the request was sent to a second target. */
    var isSentTwice = false

    /** The share of the budget with which a second send was tried, so that one that found no target is tried once more at most. */
    var triedShare = 0.0
}

/** Sends requests to a second target while their attempt takes longer than usual; see [decideSecondSend]. */
internal class SecondSends(
    private val budget: FleetRetryBudget,
    private val statistics: RouteStatistics,
    private val clock: Clock,
    private val report: (ForwardEvent) -> Unit,
) {
    private val usualTimes = UsualTimes()

    /**
     * Makes the [first] attempt, and the [second] beside it once that is due; the first good answer counts, and the other attempt is cancelled.
     *
     * @param second chooses a target, calls [tryTake], and sends; returns null when it did not send.
     * @param onAnswer called after a good answer, before the other attempt is cancelled.
     */
    suspend fun <Reply> attempt(
        terms: SecondSendTerms,
        first: suspend () -> SendOutcome<Reply>,
        second: suspend () -> SendOutcome<Reply>?,
        onAnswer: () -> Unit,
    ): SendOutcome<Reply> {
        val raced = race(first, { awaitDue(terms) }, second, { !it.mayRetry }, onAnswer)
        val answered = listOfNotNull(raced.first, raced.second).firstOrNull { !it.mayRetry }
        val winner =
            if (answered == null) {
                "NONE"
            } else if (answered === raced.first) {
                "FIRST"
            } else {
                "SECOND"
            }
        if (terms.isSentTwice) report(ForwardEvent.SentTwiceEnded(terms.request, terms.route, winner))
        return answered ?: combineFailed(listOfNotNull(raced.first, raced.second))
    }

    /** Takes a second send from the budget, just before it; returns false when the part for second sends is used up. */
    fun tryTake(terms: SecondSendTerms): Boolean {
        if (!budget.tryTake(terms.service, budgetShare(terms))) return false
        terms.isSentTwice = true
        report(ForwardEvent.SentTwice(terms.request, terms.route, clock() - terms.startedAt, usualTimes.high(terms.route)))
        return true
    }

    /** Records how long an attempt on [route] took, if its [result] tells what its target needs: a good answer, or none until the deadline. */
    fun recordResult(
        route: String,
        result: SendResult<*>,
        took: Duration,
    ) {
        when (result) {
            is SendResult.Replied -> if (!result.failed) usualTimes.record(route, took)
            is SendResult.Refused -> Unit
            is SendResult.Broken -> if (result.code == ResultCode.DEADLINE_EXCEEDED) usualTimes.record(route, took)
        }
    }

    /** Records an attempt on [route] that had lasted this time when another target answered first. */
    fun recordOvertaken(
        route: String,
        lasted: Duration,
    ): Unit = usualTimes.record(route, lasted)

    /** Waits until the second send is due, and returns true; returns false when there is to be none. */
    private suspend fun awaitDue(terms: SecondSendTerms): Boolean {
        while (true) {
            when (val decision = decideSecondSend(view(terms))) {
                SecondSend.Never -> return false
                SecondSend.Now -> {
                    terms.triedShare = budgetShare(terms)
                    return true
                }
                is SecondSend.After -> delay(decision.wait)
            }
        }
    }

    private fun view(terms: SecondSendTerms) =
        SecondSendView(
            elapsed = clock() - terms.startedAt,
            usual = usualTimes.high(terms.route),
            expected = terms.expected,
            serviceTime = statistics.serviceTime(terms.route),
            left = terms.remaining(),
            attemptsLeft = terms.attemptsLeft,
            hasBudget = budgetShare(terms).let { it > terms.triedShare && budget.hasRoom(terms.service, it) },
        )

    private fun budgetShare(terms: SecondSendTerms) = secondSendShare(terms.remaining(), statistics.serviceTime(terms.route))

    /** The outcome of attempts of which none has a good answer; a target's own failure tells the caller most. */
    private fun <Reply> combineFailed(outcomes: List<SendOutcome<Reply>>): SendOutcome<Reply> =
        outcomes.sortedBy { it.outcome is ForwardOutcome.Answered }.reduce { earlier, newer ->
            SendOutcome(
                combineOutcomes(earlier.outcome, newer.outcome),
                mayRetry = true,
                targetsReached = earlier.targetsReached + newer.targetsReached,
                unreachable = earlier.unreachable + newer.unreachable,
            )
        }
}
