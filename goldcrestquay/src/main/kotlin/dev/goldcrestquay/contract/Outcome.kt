package dev.goldcrestquay.contract

/** How a call ended; every call ends with exactly one outcome. */
public sealed interface Outcome<out Reply> {
    /**
     * A target answered.
     *
     * @property finish must be called exactly once; its argument says whether the whole answer reached the caller.
     */
    public class Answered<out Reply>(
        public val reply: Reply,
        public val target: Target,
        public val finish: (whole: Boolean) -> Unit,
    ) : Outcome<Reply>

    /** The call provably never reached a target's application, so retrying it is safe. */
    public data class NotRun(
        val code: ResultCode,
    ) : Outcome<Nothing>

    /** The call may have run. */
    public data class Unknown(
        val code: ResultCode,
    ) : Outcome<Nothing>
}

/** The rules for one call, derived from its route, service and method. */
public data class CallRules(
    val idempotent: Boolean,
    val deadlineMilliseconds: Long,
    val maximumBodyBytes: Long,
)

private val IDEMPOTENT_METHODS = setOf("GET", "HEAD", "PUT", "DELETE", "OPTIONS")

/** The rules for a call of [method] on [path]: those of the route at [routeIndexFor], with the service's values as defaults. */
public fun Service.rulesFor(
    method: String,
    path: String,
): CallRules {
    val route = routes.getOrNull(routeIndexFor(method, path))
    return CallRules(
        idempotent = route?.idempotent ?: (method in IDEMPOTENT_METHODS),
        deadlineMilliseconds = route?.deadlineMilliseconds ?: deadlineMilliseconds,
        maximumBodyBytes = route?.maximumBodyBytes ?: maximumBodyBytes,
    )
}

/** The index of the route with the longest path prefix that matches a call, or -1 when none matches. */
public fun Service.routeIndexFor(
    method: String,
    path: String,
): Int =
    routes.indices
        .filter { (routes[it].method == "*" || routes[it].method == method) && path.startsWith(routes[it].pathPrefix) }
        .maxByOrNull { routes[it].pathPrefix.length } ?: -1
