package dev.goldcrestquay.http

import dev.goldcrestquay.contract.Environment
import dev.goldcrestquay.machine.EntryVm
import dev.goldcrestquay.machine.Warmth
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * The status of an entry VM, and of the environment as this entry VM sees it.
 *
 * @property entry the identity of the entry VM.
 * @property environment the name of the environment, or null before one is known.
 * @property generation the generation in force.
 * @property offset the offset of the last log record that the state includes.
 * @property complete whether no record can be missing from the state.
 * @property dataCentresOut the data centres that are out of service.
 */
@Serializable
data class EntryStatus(
    val entry: String,
    val dataCentre: String,
    val ready: Boolean,
    val leaving: Boolean,
    val environment: String?,
    val generation: Long,
    val offset: Long,
    val complete: Boolean,
    val logReachable: Boolean,
    val members: List<MemberStatusLine>,
    val dataCentresOut: List<String>,
    val services: List<ServiceStatus>,
    val moves: List<MoveStatus>,
)

/** An entry VM on the member list. */
@Serializable
data class MemberStatusLine(
    val name: String,
    val dataCentre: String,
    val status: String,
    val callerAddress: String,
)

/**
 * The status of a service.
 *
 * @property carriers the names of the entry VMs that handle its calls.
 * @property leaseHolder the identity of the entry VM that holds the lease of the service, or null without one.
 */
@Serializable
data class ServiceStatus(
    val name: String,
    val carriers: List<String>,
    val leaseHolder: String?,
    val targets: List<TargetStatus>,
)

/**
 * The status of a target.
 *
 * @property inFlight the number of calls in flight from this entry VM.
 * @property state `serving`, `cold`, `ejected`, `draining` or `out`.
 */
@Serializable
data class TargetStatus(
    val name: String,
    val dataCentre: String,
    val version: String,
    val inFlight: Int,
    val state: String,
    val serviceTimeMilliseconds: Double,
)

/**
 * The status of a move.
 *
 * @property sharePercent the largest share of calls that the new version may get, in per cent.
 * @property verdict the kind of the verdict, or null while the move is under way.
 * @property reason the reason for the verdict, or for a stop that has no verdict yet.
 */
@Serializable
data class MoveStatus(
    val name: String,
    val service: String,
    val sharePercent: Double,
    val deadline: String,
    val verdict: String?,
    val reason: String?,
)

/** Serves operators and monitoring: `/status`, `/environment`, `/ready` and `/metrics`. */
class OperatorServer(
    private val vertx: Vertx,
    private val entryVm: EntryVm,
    private val metrics: EntryMetrics,
) {
    /** Starts listening on [port] of [host] and returns the server. */
    suspend fun start(
        host: String,
        port: Int,
    ): HttpServer {
        val router = Router.router(vertx)
        router.get("/status").handler { it.endJson(Json.encodeToString(EntryStatus.serializer(), entryVm.status())) }
        router.get("/environment").handler { context ->
            val environment = entryVm.environments.state.environment
            if (environment == null) {
                context.fail(NOT_FOUND)
            } else {
                context.endJson(Json.encodeToString(Environment.serializer(), environment))
            }
        }
        router.get("/ready").handler { it.response().setStatusCode(if (entryVm.ready) OK else UNAVAILABLE).end() }
        router.get("/metrics").handler { it.response().putHeader("content-type", "text/plain; version=0.0.4").end(metrics.text()) }
        return vertx
            .createHttpServer()
            .requestHandler(router)
            .listen(port, host)
            .coAwait()
    }

    private fun RoutingContext.endJson(text: String) {
        response().putHeader("content-type", "application/json").end(text)
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
    }
}

/** Returns the current status of this entry VM. */
fun EntryVm.status(): EntryStatus {
    val state = environments.state
    val environment = state.environment
    return EntryStatus(
        entry = members.self.identity,
        dataCentre = members.self.dataCentre,
        ready = ready,
        leaving = leaving,
        environment = environment?.name,
        generation = state.generation,
        offset = state.offset,
        complete = environments.complete,
        logReachable = control.logReachable,
        members =
            members.all().sortedBy { it.name }.map {
                MemberStatusLine(
                    it.name,
                    it.dataCentre,
                    it.status.name.lowercase(),
                    it.callerAddress,
                )
            },
        dataCentresOut = environment?.dataCentresOut.orEmpty().sorted(),
        services =
            services.tables.keys
                .sorted()
                .map { serviceStatus(it) },
        moves = environment?.moves.orEmpty().map { moveStatus(it.name) },
    )
}

private fun EntryVm.serviceStatus(name: String): ServiceStatus =
    ServiceStatus(
        name = name,
        carriers = control.placement.carriersOf(name).map { it.name },
        leaseHolder = environments.state.leases[name]?.holder,
        targets =
            services.tables[name]?.view().orEmpty().map {
                val label =
                    when {
                        it.target.dataCentre in
                            environments.state.environment
                                ?.dataCentresOut
                                .orEmpty()
                        -> "out"
                        it.draining -> "draining"
                        it.ejected -> "ejected"
                        it.warmth is Warmth.Cold -> "cold"
                        else -> "serving"
                    }
                TargetStatus(it.target.name, it.target.dataCentre, it.target.version, it.inFlight, label, it.serviceTimeMilliseconds)
            },
    )

private fun EntryVm.moveStatus(name: String): MoveStatus {
    val state = environments.state
    val move = state.environment!!.moves.first { it.name == name }
    val progress = state.moves[name]
    val stop = moves.stops().firstOrNull { it.move == name }
    val share = moves.versionShare(state, move.service)?.toShare ?: 0.0
    val verdict =
        progress
            ?.verdict
            ?.kind
            ?.name
            ?.lowercase()
            ?.replace('_', '-')
    return MoveStatus(name, move.service, share * PERCENT, move.deadline, verdict, progress?.verdict?.reason ?: stop?.reason)
}

private const val PERCENT = 100.0
