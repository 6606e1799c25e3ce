package dev.goldcrestquay.contract

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Whether a request may run more than once. */
public enum class RequestKind(
    public val idempotent: Boolean,
) {
    /** A lookup that may be sent to several targets. */
    SAFE(true),

    /** A request that runs once at most. */
    UNSAFE(false),

    /** A request with a large body that runs once at most. */
    UPLOAD(false),
}

/** One destination of a route and its share of the route's requests. */
@Serializable
public data class WeightedService(
    val service: String,
    val weight: Double,
)

/**
 * What an operator says about the requests of one host and path prefix.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property timeout how long a request may wait for its answer, or null when only its own deadline counts.
 * @property latencyObjective the time within which an answer has its full worth, or null.
 * @property priority the rank among routes, 0 first.
 * @property destinations the services that share the requests, never empty.
 * @property maximumAttempts how many targets one request may be sent to.
 */
@Serializable
public data class PlannedRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RequestKind,
    val timeout: Duration?,
    val latencyObjective: Duration?,
    val priority: Int,
    val destinations: List<WeightedService>,
    val maximumAttempts: Int,
)

/**
 * What an operator says about one service.
 *
 * @property healthPath the path of the health check.
 * @property maximumConnections the connections that one target accepts from all entry VMs together.
 * @property coldRequestsPerSecond the requests a second that a cold target bears.
 */
@Serializable
public data class PlannedService(
    val name: String,
    val healthPath: String,
    val maximumConnections: Int,
    val coldRequestsPerSecond: Double,
)

/** The bounds on what a caller may send and how long it may idle. */
@Serializable
public data class RequestLimits(
    val maximumHeaderBytes: Int,
    val maximumBodyBytes: Long,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)

/**
 * The operators' whole plan of routes and services.
 *
 * @property version increases with every change, in uneven steps.
 */
@Serializable
public data class RoutePlan(
    val version: Long,
    val routes: List<PlannedRoute>,
    val services: List<PlannedService>,
    val limits: RequestLimits,
)

/** Finds routes of one [plan] by host and longest path prefix. */
public class RouteIndex(
    public val plan: RoutePlan,
) {
    private val routesByHost = plan.routes.groupBy { it.host }.mapValues { (_, routes) -> routes.associateBy { it.pathPrefix } }
    private val servicesByName = plan.services.associateBy { it.name }

    /** The service called [name], or null. */
    public fun service(name: String): PlannedService? = servicesByName[name]

    /** The route of a request, or null when none matches; [host] carries no port and [path] no query. */
    public fun find(
        host: String,
        path: String,
    ): PlannedRoute? {
        val routes = routesByHost[host] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            routes[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }
}
