package dev.goldcrestquay.contract

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Whether a request may run more than once. */
public enum class RequestKind(
    public val idempotent: Boolean,
) {
    /** A lookup that may be sent to several targets. */
    SAFE(true),

    /** A request that must run at most once. */
    UNSAFE(false),

    /** A request with a large body that must run at most once. */
    UPLOAD(false),

    /** A lookup with a large response that may be sent to several targets. */
    DOWNLOAD(true),
}

/** One destination of a route; it gets requests in proportion to its [weight]. */
@Serializable
public data class WeightedService(
    val service: String,
    val weight: Double,
)

/**
 * The operators' rules for the requests to one host and path prefix; unlike a [Route], it may name several services.
 *
 * @property pathPrefix the prefix of the path; begins and ends with a slash.
 * @property timeout how long a request may wait for its answer, or null when only the request's own deadline counts.
 * @property latencyObjective the latency up to which an answer has its full value, or null.
 * @property priority the priority among routes; 0 is the highest.
 * @property destinations the services that share the requests; empty when the operators' record of the route can't be read, so that
 *   its requests are refused as not run.
 * @property maximumAttempts the number of targets that one request may be sent to.
 * @property isPublic whether callers need no key although the plan names organisations.
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
    val isPublic: Boolean = false,
)

/**
 * The operators' settings of one service.
 *
 * @property healthPath the path of the health check.
 * @property maximumConnections the number of connections that one target accepts from all entry VMs together.
 * @property coldRequestsPerSecond the number of requests per second that a cold target can take.
 */
@Serializable
public data class PlannedService(
    val name: String,
    val healthPath: String,
    val maximumConnections: Int,
    val coldRequestsPerSecond: Double,
)

/** The limits on what a caller may send, how long it may take to send the headers, and how long its connection may be idle. */
@Serializable
public data class RequestLimits(
    val maximumHeaderBytes: Int,
    val maximumBodyBytes: Long,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)

/**
 * The operators' complete plan of routes and services on the platform; the document of the project's own interface is [Environment].
 *
 * @property version increases with every change, not necessarily by one.
 * @property organisations the organisations whose keys callers must present; empty when callers need none.
 */
@Serializable
public data class RoutePlan(
    val version: Long,
    val routes: List<PlannedRoute>,
    val services: List<PlannedService>,
    val limits: RequestLimits,
    val organisations: List<PlannedOrganisation> = emptyList(),
)

/** An index of the routes of one [plan] by host and longest path prefix. */
public class RouteIndex(
    public val plan: RoutePlan,
) {
    private val routesByHost = plan.routes.groupBy { it.host }.mapValues { (_, routes) -> routes.associateBy { it.pathPrefix } }
    private val servicesByName = plan.services.associateBy { it.name }

    /** The service called [name], or null. */
    public fun service(name: String): PlannedService? = servicesByName[name]

    /** The route with the longest matching path prefix, or null when none matches; [host] has no port and [path] no query. */
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
