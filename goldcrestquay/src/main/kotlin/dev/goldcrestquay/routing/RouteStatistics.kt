package dev.goldcrestquay.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Moving averages of what this entry VM's requests on each route take. */
internal class RouteStatistics {
    private val serviceTimes = HashMap<String, Duration>()
    private val responseBytes = HashMap<String, Double>()

    /** The time that a target with nothing else to do takes for a request on [route]. */
    fun serviceTime(route: String): Duration = serviceTimes[route] ?: INITIAL_SERVICE_TIME

    /** The size of the response to a request on [route]; 0 before the first one. */
    fun responseBytes(route: String): Int = (responseBytes[route] ?: 0.0).toInt()

    fun recordServiceTime(
        route: String,
        took: Duration,
    ) {
        serviceTimes[route] = serviceTime(route) * (1 - SERVICE_TIME_SMOOTHING) + took * SERVICE_TIME_SMOOTHING
    }

    fun recordResponseBytes(
        route: String,
        bytes: Long,
    ) {
        val known = responseBytes[route] ?: bytes.toDouble()
        responseBytes[route] = known * (1 - RESPONSE_BYTES_SMOOTHING) + bytes * RESPONSE_BYTES_SMOOTHING
    }

    private companion object {
        /** The service time assumed for a route before its first answer. */
        val INITIAL_SERVICE_TIME = 150.milliseconds

        /** The weight of the newest answer in the moving average of a route's service time. */
        const val SERVICE_TIME_SMOOTHING = 0.1

        /** The weight of the newest answer in the moving average of the size of a route's responses, which vary several times. */
        const val RESPONSE_BYTES_SMOOTHING = 0.05
    }
}
