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

/** The shared state that forwarding decisions are based on. */
public class ForwarderTables(
    public val state: SharedState,
    public val targets: TargetTable,
    public val budget: FleetRetryBudget,
    public val splits: SplitChooser,
    public val evidence: VersionEvidence,
)

/**
 * Forwards requests: finds the route, splits traffic, chooses targets, applies admission control and retries.
 *
 * A request that is not idempotent is retried only after a refusal that proves that the target did not run it. A request that
 * can't be answered in its time is refused at once.
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

    /** Forwards [request] and returns its outcome; waits for the first load of the shared state if necessary. */
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

        /** The expected factor below which no further target is probed; higher for large bodies, to keep them in their data centre. */
        private fun goodEnough(): Double {
            if (request.bodyBytes < LARGE_BODY) return TargetSampler.GOOD_ENOUGH
            return maxOf(TargetSampler.GOOD_ENOUGH, objectiveLeft / usualTime(route.name) * NEARBY_SHARE)
        }

        suspend fun run(): ForwardOutcome<Reply> {
            var last: ForwardOutcome<Reply> = notRun(ResultCode.NO_TARGET)
            for (attempt in 1..route.maximumAttempts.coerceAtLeast(1)) {
                if (!request.isCallerWaiting) return ForwardOutcome.Unknown(ResultCode.CALL_CANCELLED)
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

        /** Combines the outcomes of two attempts: once a request may have run, its outcome is never [ForwardOutcome.NotRun]. */
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
            request.isCancellable = route.kind.idempotent
            try {
                result = withTimeoutOrNull(left) { request.send(target, chosen.connection, left) }
                    ?: SendResult.Broken(ResultCode.DEADLINE_EXCEEDED)
            } finally {
                request.isCancellable = true
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
                    tables.evidence.answered(target, route.name, result.failed, took)
                }
                is SendResult.Refused -> {
                    health.shed(ticket)
                    if (result.refusal != Refusal.SHEDDING) health.unreachable()
                }
                is SendResult.Broken -> {
                    health.failed(ticket)
                    tables.evidence.answered(target, route.name, true, took)
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
        /** The service time assumed for a route before its first answer. */
        val INITIAL_SERVICE_TIME = 150.milliseconds

        /** The weight of the newest answer in the moving average of a route's service time. */
        const val LEARNING_SHARE = 0.1

        /** The shortest time left with which a request is sent: a network round trip. */
        val LEAST_TIME = 15.milliseconds

        /** The timeout of requests without a deadline on routes without a timeout. */
        val LONGEST_REQUEST = 30_000.milliseconds

        /** How long a request that arrives while the process starts waits for the first load of the shared state. */
        val LOAD_PATIENCE = 400.milliseconds

        /** The body size, in bytes, from which requests stay in their data centre while their objective allows it. */
        const val LARGE_BODY = 16_384

        /** The share of the remaining objective that a target in the same data centre may take for a request with a large body. */
        const val NEARBY_SHARE = 0.6

        /** The shortest retry delay given to a refused caller: a fraction of the usual latency objectives. */
        val SHORTEST_RETURN = 60.milliseconds

        /** The longest retry delay before the spread is applied: callers wait at most a third of their deadline. */
        val LONGEST_RETURN = 800.milliseconds

        /** The random extension of a retry delay, as a share of it, so that callers refused together do not retry together. */
        const val RETURN_SPREAD = 1.0
    }
}
