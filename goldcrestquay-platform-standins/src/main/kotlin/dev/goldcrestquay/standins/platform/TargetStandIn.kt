package dev.goldcrestquay.standins.platform

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.net.impl.ConnectionBase
import io.vertx.kotlin.coroutines.coAwait

/** How a target responds to one request. */
enum class ResponseMode {
    /** Executes the request and responds with 200. */
    ANSWER,

    /** Responds with 503 and the header that says that the request was not executed. */
    SHED,

    /** Executes the request and closes the connection without a response. */
    RUN_AND_RESET,

    /** Executes the request, sends the response without its end and closes the connection. */
    TRUNCATE,

    /** Executes the request and sends the same response twice. */
    ANSWER_TWICE,

    /** Executes the request and responds with 500. */
    FAIL,

    /** Executes the request and never responds. */
    HANG,

    /** Begins to execute the request and ends, with all its connections. */
    CRASH,
}

/**
 * A request as a target received it.
 *
 * @property targetInstance the identifier of the target that the entry VM meant to reach.
 * @property tenant the tenant that the request was sent for, or null when it named none.
 * @property authorization the caller's key, which no target may get where the plan names tenants; null when the request had none.
 */
data class ReceivedRequest(
    val id: String,
    val targetInstance: String?,
    val deadlineMilliseconds: Long?,
    val method: String,
    val uri: String,
    val body: String,
    val tenant: String? = null,
    val authorization: String? = null,
)

/**
 * Stand-in of a target that speaks the platform's protocol; responds with 421 to requests that are meant for another target.
 *
 * @property slots the number of concurrent requests that it reports as its capacity; it does not enforce it.
 */
class TargetStandIn(
    private val vertx: Vertx,
    val id: String,
    private val executionMilliseconds: Long = 5,
    private val slots: Int = 4,
) {
    private lateinit var server: HttpServer
    private var runningRequests = 0

    /** The requests that this target executed, in the order in which they started. */
    val executed = mutableListOf<ReceivedRequest>()

    /** Chooses the response to each request. */
    var responseMode: (ReceivedRequest) -> ResponseMode = { ResponseMode.ANSWER }

    /** Returns the response body for the identifier of a request. */
    var responseBody: (String) -> String = ::defaultResponseBody

    /** The execution time that the health check reports, in percent of the usual one; the real execution time does not change. */
    var reportedTimePercent = 100

    /** The requests per second that the target says it takes from all entry VMs together, or null when it names no limit. */
    var requestLimit: Double? = null

    /** The values of the header that says that the target leaves, in all of its answers; one value `1` says so. */
    var leavingValues: List<String> = emptyList()

    /** Whether health checks carry [leavingValues] too. */
    var doesHealthCheckTell = true

    /** The `Retry-After` of all refusals and failing health checks, or null to send none. */
    var retryAfter: String? = null

    /** The requests refused with [ResponseMode.SHED]. */
    var shedRequests = 0
        private set

    /** The health checks received. */
    var healthChecks = 0
        private set

    /** Whether the health check responds with 200 rather than 503. */
    var healthy = true

    /** The host and port that the target listens on; valid after [start]. */
    val address: String get() = "127.0.0.1:${server.actualPort()}"

    /** Starts listening on a free port of `127.0.0.1`. */
    suspend fun start() {
        server = vertx.serveOnLoopback(::handle)
    }

    /** Stops listening and closes all connections at once. */
    suspend fun stop() {
        server.close().coAwait()
    }

    /** Returns the heartbeat record of this target, in JSON; it belongs under [id] in the store. */
    fun heartbeat(
        service: String,
        version: String = "v1",
        state: String = "ready",
        dataCentre: String = "north",
        sequence: Int = 1,
    ): String =
        """{"address":"$address","info":{"service":"$service","version":"$version","zone":"$dataCentre","slots":$slots},""" +
            """"status":{"state":"$state","seq":$sequence,"warmup_left":"0ms"}}"""

    private fun handle(request: HttpServerRequest) {
        val isTold = doesHealthCheckTell || request.path() != HEALTH_PATH
        if (isTold && leavingValues.isNotEmpty()) request.response().putHeader("Server-Leaving", leavingValues)
        if (request.path() == HEALTH_PATH) {
            healthChecks++
            if (!healthy) retryAfter?.let { request.response().putHeader("Retry-After", it) }
            request.response().putHeader("Goldcrestquay-Instance-Id", id)
            request.response().putHeader("Goldcrestquay-Server-Load", "$runningRequests,0,$slots,$reportedTimePercent")
            request.response().setStatusCode(if (healthy) 200 else 503).end()
            return
        }
        request.body().onSuccess { body ->
            val received =
                ReceivedRequest(
                    id = request.getHeader("Goldcrestquay-Request-Id").orEmpty(),
                    targetInstance = request.getHeader("Goldcrestquay-Target-Instance"),
                    deadlineMilliseconds = request.getHeader("Goldcrestquay-Deadline-Ms")?.toLong(),
                    method = request.method().name(),
                    uri = request.uri(),
                    body = body.toString(),
                    tenant =
                        request
                            .headers()
                            .getAll("Goldcrestquay-Tenant")
                            .joinToString(",")
                            .ifEmpty { null },
                    authorization =
                        request
                            .headers()
                            .getAll("Authorization")
                            .joinToString(",")
                            .ifEmpty { null },
                )
            receive(request, received)
        }
    }

    private fun receive(
        request: HttpServerRequest,
        received: ReceivedRequest,
    ) {
        if (received.targetInstance != null && received.targetInstance != id) {
            request
                .response()
                .setStatusCode(421)
                .putHeader("Goldcrestquay-Instance-Id", id)
                .end()
            return
        }
        val mode = responseMode(received)
        if (mode == ResponseMode.SHED) {
            shedRequests++
            retryAfter?.let { request.response().putHeader("Retry-After", it) }
            request
                .response()
                .setStatusCode(503)
                .putHeader("Goldcrestquay-Not-Executed", "1")
                .end()
            return
        }
        executed += received
        runningRequests++
        vertx.setTimer(executionMilliseconds) {
            runningRequests--
            respond(request, received, mode)
        }
    }

    private fun respond(
        request: HttpServerRequest,
        received: ReceivedRequest,
        mode: ResponseMode,
    ) {
        val body = responseBody(received.id)
        when (mode) {
            ResponseMode.ANSWER -> signedResponse(request, received, 200).end(body)
            ResponseMode.FAIL -> signedResponse(request, received, 500).end(body)
            ResponseMode.RUN_AND_RESET -> channel(request).close()
            ResponseMode.TRUNCATE ->
                writeRaw(
                    request,
                    encodeResponse(received, body).let { it.getBuffer(0, it.length() - TRUNCATED_BYTES) },
                ).addListener { channel(request).close() }
            ResponseMode.ANSWER_TWICE -> writeRaw(request, encodeResponse(received, body).appendBuffer(encodeResponse(received, body)))
            ResponseMode.CRASH -> server.close()
            ResponseMode.HANG, ResponseMode.SHED -> Unit
        }
    }

    private fun signedResponse(
        request: HttpServerRequest,
        received: ReceivedRequest,
        status: Int,
    ) = request
        .response()
        .setStatusCode(status)
        .putHeader("Goldcrestquay-Request-Id", received.id)
        .putHeader("Goldcrestquay-Server-Seal", signature(received.id))
        .also { response -> requestLimit?.let { response.putHeader("Goldcrestquay-Server-Limit", it.toString()) } }

    private fun encodeResponse(
        received: ReceivedRequest,
        body: String,
    ): Buffer =
        Buffer.buffer(
            "HTTP/1.1 200 OK\r\nGoldcrestquay-Request-Id: ${received.id}\r\nGoldcrestquay-Server-Seal: ${signature(received.id)}\r\n" +
                "Content-Length: ${body.length}\r\n\r\n$body",
        )

    private fun channel(request: HttpServerRequest): Channel = (request.connection() as ConnectionBase).channel()

    /** Writes bytes to the socket past the HTTP encoder, so that a response can be incomplete or repeated. */
    private fun writeRaw(
        request: HttpServerRequest,
        bytes: Buffer,
    ): ChannelFuture = channel(request).pipeline().firstContext().writeAndFlush(Unpooled.wrappedBuffer(bytes.bytes))

    private fun signature(requestId: String) = "$id.$requestId"

    companion object {
        /** The path of the health check. */
        const val HEALTH_PATH = "/health"

        /** Bytes that [ResponseMode.TRUNCATE] leaves out at the end of the response. */
        private const val TRUNCATED_BYTES = 10

        /** Returns the response body for a request unless [TargetStandIn.responseBody] is replaced. */
        fun defaultResponseBody(requestId: String): String = "answer to $requestId ".repeat(BODY_REPEATS)

        private const val BODY_REPEATS = 10
    }
}
