package dev.goldcrestquay.tenant

import dev.goldcrestquay.contract.PlannedRoute
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.RouteIndex
import dev.goldcrestquay.contract.RoutePlan
import dev.goldcrestquay.machine.SharedState
import kotlin.time.Duration.Companion.seconds

/**
 * Decides for whom a request is run, each time by the plan that is in force in the [state]; confined to the entry VM's event loop.
 *
 * The state never returns to an older plan, so a key that was taken away does not identify anybody again.
 */
public class TenantGate(
    private val state: SharedState,
) {
    private var indexedPlan: RoutePlan? = null
    private var index: TenantIndex? = null

    /** For whom a request on [route] to [host] and [path] is run; [route] may come from an earlier plan. */
    public fun identify(
        credentials: CallerCredentials,
        host: String,
        path: String,
        route: PlannedRoute,
    ): Tenancy {
        val routes = state.routes ?: return Tenancy.Rejected
        // A route that can't be read refuses its requests as not run; whether it is public is not known.
        if (route.destinations.isEmpty()) return Tenancy.Unused
        val isPublic = (routes.find(host, path)?.takeIf { it.destinations.isNotEmpty() } ?: route).isPublic
        return credentials.relayed?.let { identify(it, routes, isPublic) } ?: identify(credentials.key, routes, isPublic)
    }

    private fun identify(
        key: CallerKey?,
        routes: RouteIndex,
        isPublic: Boolean,
    ): Tenancy {
        val index = indexOf(routes.plan) ?: return Tenancy.Unused
        if (key == null) return if (isPublic) Tenancy.Anonymous else Tenancy.Rejected
        return index.find(key)?.let { Tenancy.Identified(it.name, it.priority) } ?: Tenancy.Rejected
    }

    /** The entry VM that relays the request may know a later plan, or an earlier one. */
    private fun identify(
        caller: RelayedCaller,
        routes: RouteIndex,
        isPublic: Boolean,
    ): Tenancy {
        val index = indexOf(routes.plan)
        val version = routes.plan.version
        val name = caller.tenant
        // The same version without organisations came from a peer of a release that knows none.
        val knowsMore = caller.planVersion > version || (index == null && caller.planVersion == version)
        return when {
            knowsMore -> name?.let { Tenancy.Identified(it, index?.find(it)?.priority) } ?: Tenancy.Anonymous
            index == null -> Tenancy.Anonymous
            name == null -> if (isPublic) Tenancy.Anonymous else Tenancy.Outdated
            else -> index.findUnchanged(name, caller.planVersion)?.let { Tenancy.Identified(name, it.priority) } ?: Tenancy.Outdated
        }
    }

    /** Why a request of [tenancy] is refused, or null when it may run. */
    public fun refusal(tenancy: Tenancy): ResultCode? =
        when (tenancy) {
            Tenancy.Unused, Tenancy.Anonymous, is Tenancy.Identified -> null
            // Another entry VM may know a plan that has the key.
            Tenancy.Rejected ->
                if (state.age() <= MAXIMUM_REJECTION_AGE) ResultCode.UNKNOWN_CALLER else ResultCode.NOT_READY
            Tenancy.Outdated -> ResultCode.NOT_READY
        }

    /** What a peer is told of the caller of a request of [tenancy]; null when the plan names no organisations. */
    public fun relayed(tenancy: Tenancy): RelayedCaller? {
        val version = state.routes?.plan?.version
        return if (tenancy == Tenancy.Unused || version == null) null else RelayedCaller(version, tenancy.tenantName)
    }

    /** The index of [plan], or null when it names no organisations. */
    private fun indexOf(plan: RoutePlan): TenantIndex? {
        if (plan !== indexedPlan) {
            index = if (plan.tenants.isEmpty()) null else TenantIndex(plan, index)
            indexedPlan = plan
        }
        return index
    }

    private companion object {
        /** While the leader reads the store once a second, records are younger; older ones may lack a key that was added since. */
        val MAXIMUM_REJECTION_AGE = 2.seconds
    }
}
