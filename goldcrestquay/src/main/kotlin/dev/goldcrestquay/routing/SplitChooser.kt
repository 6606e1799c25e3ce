package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.PlannedRoute
import kotlin.random.Random

/**
 * Splits a route's requests among its services by weight, evenly over short periods too.
 *
 * Uses smooth weighted round robin with a random start. Each entry VM sees few requests, so independent random draws would
 * deviate far from the weights.
 */
public class SplitChooser(
    private val random: Random,
) {
    private val credits = HashMap<PlannedRoute, DoubleArray>()

    /** Returns the service for the next request on [route], or null when the route has no destination. */
    public fun choose(route: PlannedRoute): String? {
        val destinations = route.destinations
        if (destinations.size <= 1) return destinations.firstOrNull()?.service
        val total = destinations.sumOf { it.weight }
        if (credits.size > MAXIMUM_ROUTES) credits.clear()
        val credit = credits.getOrPut(route) { DoubleArray(destinations.size) { random.nextDouble() * total } }
        destinations.forEachIndexed { index, destination -> credit[index] += destination.weight }
        val chosen = credit.indices.maxBy { credit[it] }
        credit[chosen] -= total
        return destinations[chosen].service
    }

    private companion object {
        /** The table is cleared when it exceeds this size, which drops routes of replaced plans. */
        const val MAXIMUM_ROUTES = 10_000
    }
}
