package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.PlannedRoute
import kotlin.random.Random

/**
 * Divides a route's requests among its services by weight, evenly over short spans too.
 *
 * Smooth weighted round robin from a random start: each entry VM sees few requests, so independent draws would stray far.
 */
public class SplitChooser(
    private val random: Random,
) {
    private val credits = HashMap<PlannedRoute, DoubleArray>()

    /** The service for the next request of [route]. */
    public fun choose(route: PlannedRoute): String {
        val destinations = route.destinations
        if (destinations.size == 1) return destinations.single().service
        val total = destinations.sumOf { it.weight }
        if (credits.size > LARGEST_TABLE) credits.clear()
        val credit = credits.getOrPut(route) { DoubleArray(destinations.size) { random.nextDouble() * total } }
        destinations.forEachIndexed { index, destination -> credit[index] += destination.weight }
        val chosen = credit.indices.maxBy { credit[it] }
        credit[chosen] -= total
        return destinations[chosen].service
    }

    private companion object {
        /** Routes of replaced plans are forgotten beyond this many. */
        const val LARGEST_TABLE = 10_000
    }
}
