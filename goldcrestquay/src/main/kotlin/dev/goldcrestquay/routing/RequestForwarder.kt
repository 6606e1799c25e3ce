package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.PlannedRoute
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.move.VersionEvidence
import dev.goldcrestquay.organisation.CallerCredentials
import dev.goldcrestquay.overload.ScarceRoom
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The shared state that forwarding decisions are based on.
 *
 * @property reach whether this entry VM reaches targets.
 * @property relayPeers the peers that serve requests in place of this entry VM while it does not.
 * @property plannedStop which requests this entry VM still takes while it stops.
 * @property recordRun is called for each attempt that a target began to run, with the name of the organisation and the time it was sent at.
 * @property room decides about room at services that have too little of it; null where each request is judged by itself.
 * @property steersByRejections whether targets that reject requests although they have a free slot get fewer of them.
 * @property maySendTwice whether lookups with a short deadline may go to a second target while the first still works on them.
 * @property refreshRecords is called before a request is placed, and brings old records up to date if that can be done soon.
 */
public class ForwarderTables(
    public val state: SharedState,
    public val targets: TargetTable,
    public val budget: FleetRetryBudget,
    public val splits: SplitChooser,
    public val evidence: VersionEvidence,
    public val crashes: CrashTable,
    public val reach: TargetReach,
    public val relayPeers: RelayPeers,
    public val plannedStop: PlannedStop,
    public val recordRun: (organisation: String, sentAt: Duration) -> Unit = { _, _ -> },
    public val room: ScarceRoom? = null,
    public val steersByRejections: () -> Boolean = { false },
    public val maySendTwice: Boolean = true,
    public val refreshRecords: suspend () -> Unit,
)

/**
 * Forwards the requests of the platform's interface: finds the route, splits traffic, chooses targets, applies admission control
 * and retries.
 *
 * A request that is not idempotent is retried only after a refusal that proves that the target did not run it. A request that
 * can't be answered in its time is refused at once.
 */
public class RequestForwarder<Connection, Reply>(
    private val tables: ForwarderTables,
    sampler: TargetSampler<Connection>,
    private val clock: Clock,
    random: Random,
    private val report: (ForwardEvent) -> Unit,
) {
    private val parts = ForwardingParts(tables, sampler, clock, random, report)
    private val organisationGate = parts.organisationGate

    /** Forwards [request] and returns its outcome; waits for the first load of the shared state if necessary. */
    public suspend fun forward(request: ForwardRequest<Connection, Reply>): ForwardOutcome<Reply> {
        if (!tables.state.isLoaded) withTimeoutOrNull(INITIAL_STATE_TIMEOUT) { tables.state.awaitLoad() }
        tables.refreshRecords()
        val routes = tables.state.routes ?: return reportOutcome(request, null, null, parts.notRun(ResultCode.NOT_READY))
        val route = routes.find(request.host, request.path) ?: return reportOutcome(request, null, null, parts.notRun(ResultCode.NO_ROUTE))
        val callerOrganisation = organisationGate.identify(request.credentials, request.host, request.path, route)
        organisationGate.refusal(callerOrganisation)?.let { return reportOutcome(request, route, null, parts.notRun(it)) }
        val serviceName = tables.splits.choose(route) ?: return reportOutcome(request, route, null, parts.notRun(ResultCode.NO_TARGET))
        request.origin?.let { report(ForwardEvent.RelayReceived(request.id, it.from, it.elapsed, it.attempts)) }
        // The entry VM that the request came from has counted it.
        if (request.origin == null) tables.budget.recordRequest(serviceName)
        val service = routes.service(serviceName)
        val outcome =
            if (service ==
                null
            ) {
                parts.notRun(ResultCode.NO_TARGET)
            } else {
                ForwardingRun(parts, request, route, service, callerOrganisation).run()
            }
        return reportOutcome(request, route, serviceName, outcome, callerOrganisation.organisationName)
    }

    /**
     * Refuses a request of an unknown caller, or one that may not end before a planned stop does, so that its body need not be read;
     * returns null for all others.
     *
     * @param arrivedAt when the request arrived, earlier by the time that it was under way before.
     */
    public fun refuseEarly(
        id: String,
        host: String,
        path: String,
        deadline: Duration?,
        arrivedAt: Duration,
        credentials: CallerCredentials = CallerCredentials(),
    ): ForwardOutcome.NotRun? {
        val route = tables.state.routes?.find(host, path)
        val age = clock() - arrivedAt
        val refusal =
            when {
                !tables.plannedStop.allows(timeLimit(route, deadline) - age) -> LEAVING
                route == null || tables.state.age() > OLD_RECORDS_AGE -> return null
                organisationGate.refusal(organisationGate.identify(credentials, host, path, route)) == ResultCode.UNKNOWN_CALLER ->
                    parts.notRun(ResultCode.UNKNOWN_CALLER)
                else -> return null
            }
        report(ForwardEvent.Ended(id, route?.name, null, refusal.code.kind.name, refusal.code, age, late = false))
        return refusal
    }

    private fun reportOutcome(
        request: ForwardRequest<Connection, Reply>,
        route: PlannedRoute?,
        service: String?,
        outcome: ForwardOutcome<Reply>,
        organisation: String? = null,
    ): ForwardOutcome<Reply> {
        val took = clock() - request.arrivedAt
        val code =
            when (outcome) {
                is ForwardOutcome.Answered -> null
                is ForwardOutcome.NotRun -> outcome.code
                is ForwardOutcome.Unknown -> outcome.code
            }
        val late = route?.latencyObjective?.let { took > it } ?: false
        report(ForwardEvent.Ended(request.id, route?.name, service, code?.kind?.name ?: "ANSWERED", code, took, late, organisation))
        return outcome
    }

    private companion object {
        /** How long a request that arrives while the process starts waits for the first load of the shared state. */
        val INITIAL_STATE_TIMEOUT = 400.milliseconds
    }
}
