package dev.goldcrestquay.standins.platform

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonObject
import java.util.concurrent.CopyOnWriteArrayList

/** How one call to the platform's API goes wrong. */
enum class ApiFault {
    /** The platform gets too many calls: 429, nothing is done. */
    THROTTLED,

    /** The platform responds with 503; nothing is done. */
    REFUSED,

    /** The report is carried out at once and the connection ends without a response. */
    ANSWER_LOST,

    /** There is no response, and the report is carried out later, if its token still is the highest then. */
    LATE,
}

/**
 * In-memory stand-in of the platform's API for duties of one entry VM at a time.
 *
 * @param isFenced whether it refuses a token that is lower than one that it has seen, with 409.
 * @param lateMilliseconds how much later it carries out what is [ApiFault.LATE].
 */
class PlatformApiStandIn(
    private val vertx: Vertx,
    private val isFenced: Boolean = true,
    private val lateMilliseconds: Long = 2_000,
) {
    /** A report of usage as it arrived; [status] is the response, null when there was none. */
    class Report(
        val holder: String,
        val token: Long,
        val body: JsonObject,
        val status: Int?,
    ) {
        /** The window's number. */
        val window: Long get() = body.getLong("window_id")

        /** The requests of each tenant. */
        val counts: Map<String, Any?> get() = body.getJsonObject("counts").map
    }

    private lateinit var server: HttpServer

    /** All reports in the order of their arrival. */
    val reports = CopyOnWriteArrayList<Report>()

    /** The counts that were carried out, by window; two different ones for a window are a fault of the callers. */
    val carriedOut = CopyOnWriteArrayList<Pair<Long, JsonObject>>()

    /** The highest token seen so far. */
    @Volatile
    var highestToken = 0L

    /** Decides what goes wrong with a report of a window; null when nothing does. */
    @Volatile
    var fault: (window: Long) -> ApiFault? = { null }

    /** The port on `127.0.0.1` that the API listens on; valid after [start]. */
    val port: Int get() = server.actualPort()

    /** Starts listening on a free port of `127.0.0.1`. */
    suspend fun start() {
        server = vertx.serveOnLoopback(::handle)
    }

    private fun handle(request: HttpServerRequest) {
        if (request.path() != "/usage") {
            request.response().setStatusCode(NOT_FOUND).end()
            return
        }
        request.body().onSuccess { bytes ->
            val body = bytes.toJsonObject()
            val token = request.getHeader("Goldcrestquay-Fencing-Token").toLong()
            val status =
                when (fault(body.getLong("window_id"))) {
                    ApiFault.THROTTLED -> TOO_MANY_REQUESTS
                    ApiFault.REFUSED -> UNAVAILABLE
                    ApiFault.ANSWER_LOST -> null.also { carryOut(token, body) }
                    ApiFault.LATE -> null.also { vertx.setTimer(lateMilliseconds) { carryOut(token, body) } }
                    null -> carryOut(token, body)
                }
            reports += Report(request.getHeader("Goldcrestquay-Lease-Holder"), token, body, status)
            if (status == null) request.connection().close() else request.response().setStatusCode(status).end()
        }
    }

    private fun carryOut(
        token: Long,
        body: JsonObject,
    ): Int {
        if (isFenced && token < highestToken) return CONFLICT
        highestToken = maxOf(highestToken, token)
        carriedOut += body.getLong("window_id") to body.getJsonObject("counts")
        return OK
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
    }
}
