package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.RegisteredTarget
import kotlin.time.Duration

/** Identifies one attempt in the health of its target and in the evidence of its version. */
internal class AttemptTickets(
    val health: Long,
    val evidence: Long,
)

/** Records what the result of an attempt tells of its target, the target's version, the route and the way to the targets. */
internal class AttemptRecorder(
    private val tables: ForwarderTables,
    private val statistics: RouteStatistics,
    private val report: (ForwardEvent) -> Unit,
) {
    /** Records that a request on [route], which is expected to take [expected], is sent to [candidate]. */
    fun recordSend(
        candidate: TargetCandidate,
        route: String,
        expected: Duration,
    ): AttemptTickets = AttemptTickets(candidate.health.recordSend(expected), tables.evidence.recordSend(candidate.target, route))

    /** Records an attempt that ended without a result, which says nothing of its target. */
    fun recordInconclusive(
        candidate: TargetCandidate,
        tickets: AttemptTickets,
    ) {
        candidate.health.recordInconclusive(tickets.health)
        tables.evidence.recordInconclusive(tickets.evidence)
    }

    /** Records an attempt that was given up because another target answered first. */
    fun recordOvertaken(
        candidate: TargetCandidate,
        tickets: AttemptTickets,
    ) {
        candidate.health.recordOvertaken(tickets.health)
        tables.evidence.recordInconclusive(tickets.evidence)
    }

    /** Records the [result] of an attempt of [request] on [route] that [took] this time. */
    fun recordResult(
        request: String,
        route: String,
        chosen: ChosenTarget<*>,
        tickets: AttemptTickets,
        result: SendResult<*>,
        took: Duration,
    ) {
        recordContact(chosen.candidate.target, result)
        recordHealth(route, chosen, tickets, result, took)
        recordRequestLimit(request, chosen.candidate, result)
    }

    private fun recordContact(
        target: RegisteredTarget,
        result: SendResult<*>,
    ) {
        val isUnanswered =
            when (result) {
                is SendResult.Replied -> false
                is SendResult.Refused -> if (result.refusal == Refusal.CONNECTION_REFUSED) true else return
                is SendResult.Broken -> if (result.code == ResultCode.CONNECTION_LOST) true else return
            }
        tables.reach.recordContact(target.id, !isUnanswered)
    }

    private fun recordHealth(
        route: String,
        chosen: ChosenTarget<*>,
        tickets: AttemptTickets,
        result: SendResult<*>,
        took: Duration,
    ) {
        val health = chosen.candidate.health
        when (result) {
            is SendResult.Replied -> {
                if (result.failed) health.recordFailure(tickets.health) else health.recordSuccess(tickets.health)
                health.rejectedShare.recordAcceptance()
                if (!result.failed) statistics.recordServiceTime(route, took / chosen.expectedFactor.coerceAtLeast(1.0))
                if (!result.failed) statistics.recordResponseBytes(route, result.bodyBytes)
                tables.evidence.recordAnswer(tickets.evidence, result.failed)
            }
            is SendResult.Refused -> {
                tables.evidence.recordInconclusive(tickets.evidence)
                if (result.refusal == Refusal.WITHDRAWN) return health.recordInconclusive(tickets.health)
                health.recordShed(tickets.health)
                // A probe has just shown a free slot, so the target isn't full.
                val isUnexplained = result.refusal == Refusal.SHEDDING && chosen.connection != null && chosen.excess == 0
                if (isUnexplained && tables.steersByRejections()) health.rejectedShare.recordRejection()
                if (result.refusal != Refusal.SHEDDING) health.recordUnreachable()
            }
            is SendResult.Broken -> {
                health.recordFailure(tickets.health)
                tables.evidence.recordAnswer(tickets.evidence, failed = true)
            }
        }
    }

    /** Only answers of the target itself tell whether it names a limit. */
    private fun recordRequestLimit(
        request: String,
        candidate: TargetCandidate,
        result: SendResult<*>,
    ) {
        val limit =
            when (result) {
                is SendResult.Replied -> result.requestLimit
                is SendResult.Refused -> if (result.refusal == Refusal.SHEDDING) result.requestLimit else return
                is SendResult.Broken -> return
            }
        if (limit != candidate.health.requestLimit) report(ForwardEvent.RequestLimitChanged(request, candidate.target, limit))
        candidate.health.recordRequestLimit(limit)
    }
}
