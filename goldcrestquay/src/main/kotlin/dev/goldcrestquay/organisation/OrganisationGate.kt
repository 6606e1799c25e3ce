package dev.goldcrestquay.organisation

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
public class OrganisationGate(
    private val state: SharedState,
) {
    private var indexedPlan: RoutePlan? = null
    private var index: OrganisationIndex? = null

    /** For whom a request on [route] to [host] and [path] is run; [route] may come from an earlier plan. */
    public fun identify(
        credentials: CallerCredentials,
        host: String,
        path: String,
        route: PlannedRoute,
    ): CallerOrganisation {
        val routes = state.routes ?: return CallerOrganisation.Rejected
        // A route that can't be read refuses its requests as not run; whether it is public is not known.
        if (route.destinations.isEmpty()) return CallerOrganisation.Unused
        val isPublic = (routes.find(host, path)?.takeIf { it.destinations.isNotEmpty() } ?: route).isPublic
        return credentials.relayed?.let { identify(it, routes, isPublic) } ?: identify(credentials.key, routes, isPublic)
    }

    private fun identify(
        key: CallerKey?,
        routes: RouteIndex,
        isPublic: Boolean,
    ): CallerOrganisation {
        val index = indexOf(routes.plan) ?: return CallerOrganisation.Unused
        if (key == null) return if (isPublic) CallerOrganisation.Anonymous else CallerOrganisation.Rejected
        return index.find(key)?.let { CallerOrganisation.Identified(it.name, it.priority) } ?: CallerOrganisation.Rejected
    }

    /** The entry VM that relays the request may know a later plan, or an earlier one. */
    private fun identify(
        caller: RelayedCaller,
        routes: RouteIndex,
        isPublic: Boolean,
    ): CallerOrganisation {
        val index = indexOf(routes.plan)
        val version = routes.plan.version
        val name = caller.organisation
        // The same version without organisations came from a peer of a release that knows none.
        val knowsMore = caller.planVersion > version || (index == null && caller.planVersion == version)
        return when {
            knowsMore -> name?.let { CallerOrganisation.Identified(it, index?.find(it)?.priority) } ?: CallerOrganisation.Anonymous
            index == null -> CallerOrganisation.Anonymous
            name == null -> if (isPublic) CallerOrganisation.Anonymous else CallerOrganisation.Outdated
            else ->
                index.findUnchanged(name, caller.planVersion)?.let { CallerOrganisation.Identified(name, it.priority) }
                    ?: CallerOrganisation.Outdated
        }
    }

    /** Why a request of [callerOrganisation] is refused, or null when it may run. */
    public fun refusal(callerOrganisation: CallerOrganisation): ResultCode? =
        when (callerOrganisation) {
            CallerOrganisation.Unused, CallerOrganisation.Anonymous, is CallerOrganisation.Identified -> null
            // Another entry VM may know a plan that has the key.
            CallerOrganisation.Rejected ->
                if (state.age() <= MAXIMUM_REJECTION_AGE) ResultCode.UNKNOWN_CALLER else ResultCode.NOT_READY
            CallerOrganisation.Outdated -> ResultCode.NOT_READY
        }

    /** What a peer is told of the caller of a request of [callerOrganisation]; null when the plan names no organisations. */
    public fun relayed(callerOrganisation: CallerOrganisation): RelayedCaller? {
        val version = state.routes?.plan?.version
        return if (callerOrganisation == CallerOrganisation.Unused ||
            version == null
        ) {
            null
        } else {
            RelayedCaller(version, callerOrganisation.organisationName)
        }
    }

    /** The index of [plan], or null when it names no organisations. */
    private fun indexOf(plan: RoutePlan): OrganisationIndex? {
        if (plan !== indexedPlan) {
            index = if (plan.organisations.isEmpty()) null else OrganisationIndex(plan, index)
            indexedPlan = plan
        }
        return index
    }

    private companion object {
        /** While the leader reads the store once a second, records are younger; older ones may lack a key that was added since. */
        val MAXIMUM_REJECTION_AGE = 2.seconds
    }
}
