package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.PlannedRoute
import dev.goldcrestquay.contract.PlannedService
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.move.VersionEvidence
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The tables that forwarding decides by. */
public class ForwarderTables(
    public val state: SharedState,
    public val targets: TargetTable,
    public val budget: RepeatBudget,
    public val splits: SplitChooser,
    public val evidence: VersionEvidence,
)

/**
 * Takes one request from its arrival to its outcome: route, target, attempts, refusal.
 *
 * A request that is not idempotent is sent again only when the target proved that it did not run it. A request that cannot be
 * served in its time is refused at once.
 */
public class RequestForwarder<Connection, Reply>(
    private val tables: ForwarderTables,
    private val sampler: TargetSampler<Connection>,
    private val clock: Clock,
    private val random: Random,
    private val report: (ForwardEvent) -> Unit,
) {
    private val usualTimes = HashMap<String, Duration>()
    private val callerAges = CallerAge()

    /** Forwards [request]. */
    public suspend fun forward(request: ForwardRequest<Connection, Reply>): ForwardOutcome<Reply> {
        if (!tables.state.isLoaded) withTimeoutOrNull(LOAD_PATIENCE) { tables.state.awaitLoad() }
        val routes = tables.state.routes ?: return ended(request, null, null, notRun(ResultCode.NOT_READY))
        val route = routes.find(request.host, request.path) ?: return ended(request, null, null, notRun(ResultCode.NO_ROUTE))
        val serviceName = tables.splits.choose(route)
        tables.budget.requested(serviceName)
        val service = routes.service(serviceName)
        val outcome = if (service == null) notRun(ResultCode.NO_TARGET) else Run(request, route, service).run()
        return ended(request, route, serviceName, outcome)
    }

    private fun ended(
        request: ForwardRequest<Connection, Reply>,
        route: PlannedRoute?,
        service: String?,
        outcome: ForwardOutcome<Reply>,
    ): ForwardOutcome<Reply> {
        val took = clock() - request.arrivedAt
        val code =
            when (outcome) {
                is ForwardOutcome.Answered -> null
                is ForwardOutcome.NotRun -> outcome.code
                is ForwardOutcome.Unknown -> outcome.code
            }
        val late = route?.latencyObjective?.let { took > it } ?: false
        report(ForwardEvent.Ended(request.id, route?.name, service, code?.kind?.name ?: "ANSWERED", code, took, late))
        return outcome
    }

    private fun notRun(
        code: ResultCode,
        wait: Duration = SHORTEST_RETURN,
    ): ForwardOutcome.NotRun {
        val spread = wait.coerceIn(SHORTEST_RETURN, LONGEST_RETURN) * (1.0 + random.nextDouble() * RETURN_SPREAD)
        return ForwardOutcome.NotRun(code, spread)
    }

    private inner class Run(
        private val request: ForwardRequest<Connection, Reply>,
        private val route: PlannedRoute,
        private val service: PlannedService,
    ) {
        private val limit = listOfNotNull(request.deadline, route.timeout).minOrNull() ?: LONGEST_REQUEST
        private val tried = HashSet<String>()

        private val callerAge = callerAges.of(route.name, request.deadline)

        private val remaining: Duration get() = limit - (clock() - request.arrivedAt)

        private val objectiveLeft: Duration get() = (route.latencyObjective ?: limit) - callerAge - (clock() - request.arrivedAt)

        /** The factor below which no further target is asked: more for bodies that are dear to carry to another data centre. */
        private fun goodEnough(): Double {
            if (request.bodyBytes < LARGE_BODY) return TargetSampler.GOOD_ENOUGH
            return maxOf(TargetSampler.GOOD_ENOUGH, objectiveLeft / usualTime(route.name) * NEARBY_SHARE)
        }

        suspend fun run(): ForwardOutcome<Reply> {
            var last: ForwardOutcome<Reply> = notRun(ResultCode.NO_TARGET)
            for (attempt in 1..route.maximumAttempts.coerceAtLeast(1)) {
                if (!request.wanted) return ForwardOutcome.Unknown(ResultCode.CALL_CANCELLED)
                if (remaining < LEAST_TIME) return if (attempt == 1) notRun(ResultCode.DEADLINE_PASSED) else last
                val candidates = tables.targets.candidates(service.name, tried)
                if (candidates.isEmpty()) return last
                if (attempt > 1 && !tables.budget.take(service.name)) return last
                val chosen = sampler.choose(candidates, service, request.bodyBytes, goodEnough())
                val expected = usualTime(route.name) * chosen.expectedFactor
                val view = AdmissionView(expected, chosen.excess, objectiveLeft, remaining, route.priority)
                val admission = admit(view)
                if (admission is Admission.Refused) return truthful(last, refuse(chosen, view, admission.retryAfter))
                val ended = attempt(attempt, chosen, expected)
                last = truthful(last, ended.outcome)
                if (!ended.mayRepeat) return last
            }
            return last
        }

        /** What may be said after [earlier] and then [newer]: a request that may have run once is never called not run. */
        private fun truthful(
            earlier: ForwardOutcome<Reply>,
            newer: ForwardOutcome<Reply>,
        ): ForwardOutcome<Reply> = if (newer is ForwardOutcome.NotRun && earlier !is ForwardOutcome.NotRun) earlier else newer

        private fun refuse(
            chosen: ChosenTarget<Connection>,
            view: AdmissionView,
            retryAfter: Duration,
        ): ForwardOutcome.NotRun {
            chosen.connection?.let { sampler.release(it) }
            val target = chosen.candidate.target
            report(ForwardEvent.Refused(request.id, route.name, view, target, chosen.expectedFactor, chosen.probes, retryAfter))
            return notRun(ResultCode.OVERLOADED, retryAfter)
        }

        private suspend fun attempt(
            number: Int,
            chosen: ChosenTarget<Connection>,
            expected: Duration,
        ): AttemptEnd<Reply> {
            val target = chosen.candidate.target
            val health = chosen.candidate.health
            tried += target.id
            tables.targets.sent(chosen.candidate)
            val ticket = health.sent(expected)
            val started = clock()
            val left = remaining
            report(sentEvent(number, chosen, left))
            var result: SendResult<Reply>? = null
            request.mayCancel = route.kind.idempotent
            try {
                result = withTimeoutOrNull(left) { request.send(target, chosen.connection, left) }
                    ?: SendResult.Broken(ResultCode.DEADLINE_EXCEEDED)
            } finally {
                request.mayCancel = true
                if (result == null) health.undecided(ticket)
            }
            val took = clock() - started
            report(ForwardEvent.AttemptEnded(request.id, target, describe(result), took))
            learn(chosen, ticket, result, took)
            return end(target, result)
        }

        private fun learn(
            chosen: ChosenTarget<Connection>,
            ticket: Long,
            result: SendResult<Reply>,
            took: Duration,
        ) {
            val health = chosen.candidate.health
            val target = chosen.candidate.target
            when (result) {
                is SendResult.Replied -> {
                    if (result.failed) health.failed(ticket) else health.succeeded(ticket)
                    if (!result.failed) observe(route.name, took / chosen.expectedFactor.coerceAtLeast(1.0))
                    tables.evidence.recordAnswer(target, route.name, result.failed, took)
                }
                is SendResult.Refused -> {
                    health.shed(ticket)
                    if (result.refusal != Refusal.SHEDDING) health.unreachable()
                }
                is SendResult.Broken -> {
                    health.failed(ticket)
                    tables.evidence.recordAnswer(target, route.name, true, took)
                }
            }
        }

        private fun end(
            target: RegisteredTarget,
            result: SendResult<Reply>,
        ): AttemptEnd<Reply> =
            when (result) {
                is SendResult.Replied -> AttemptEnd(ForwardOutcome.Answered(result.reply, target), result.failed && route.kind.idempotent)
                is SendResult.Refused -> AttemptEnd(notRun(ResultCode.TARGET_REFUSED), true)
                is SendResult.Broken -> AttemptEnd(ForwardOutcome.Unknown(result.code), route.kind.idempotent)
            }

        private fun sentEvent(
            number: Int,
            chosen: ChosenTarget<Connection>,
            left: Duration,
        ) = ForwardEvent.Sent(
            request = request.id,
            route = route.name,
            attempt = number,
            target = chosen.candidate.target,
            expectedFactor = chosen.expectedFactor,
            probes = chosen.probes,
            planVersion =
                tables.state.routes
                    ?.plan
                    ?.version ?: -1,
            factsAge = tables.state.age(),
            remaining = left,
        )
    }

    private fun describe(result: SendResult<Reply>): String =
        when (result) {
            is SendResult.Replied -> if (result.failed) "failed" else "replied"
            is SendResult.Refused -> result.refusal.name
            is SendResult.Broken -> result.code.name
        }

    private fun usualTime(route: String): Duration = usualTimes[route] ?: INITIAL_SERVICE_TIME

    private fun observe(
        route: String,
        took: Duration,
    ) {
        usualTimes[route] = usualTime(route) * (1 - LEARNING_SHARE) + took * LEARNING_SHARE
    }

    private class AttemptEnd<Reply>(
        val outcome: ForwardOutcome<Reply>,
        val mayRepeat: Boolean,
    )

    private companion object {
        /** The expected service time of a route before its first answer. */
        val INITIAL_SERVICE_TIME = 150.milliseconds

        /** The weight of the newest answer in a route's usual time. */
        const val LEARNING_SHARE = 0.1

        /** A request with less left than a network round trip is not sent. */
        val LEAST_TIME = 15.milliseconds

        /** The limit of requests that bring no deadline on routes without a timeout. */
        val LONGEST_REQUEST = 30_000.milliseconds

        /** A request that comes while the process starts waits this long for the first facts. */
        val LOAD_PATIENCE = 400.milliseconds

        /** Bodies from this size on stay in their data centre while their objective allows it. */
        const val LARGE_BODY = 16_384

        /** The part of a large request's objective that a nearby target may take. */
        const val NEARBY_SHARE = 0.6

        /** A refused caller may come back after a fraction of the usual objectives. */
        val SHORTEST_RETURN = 60.milliseconds

        /** Callers honour no more than a third of their time. */
        val LONGEST_RETURN = 800.milliseconds

        /** Spreads returns, so that callers refused together do not return together. */
        const val RETURN_SPREAD = 1.0
    }
}
