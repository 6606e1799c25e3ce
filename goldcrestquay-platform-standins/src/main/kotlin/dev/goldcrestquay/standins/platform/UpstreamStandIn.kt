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

/** How an upstream treats one request. */
enum class UpstreamBehaviour {
    /** Runs it and answers. */
    ANSWER,

    /** Refuses it and says that it did not run. */
    SHED,

    /** Runs it and closes the connection in place of an answer. */
    RUN_AND_RESET,

    /** Runs it and sends half of the answer. */
    TRUNCATE,

    /** Runs it, answers, and sends the answer a second time. */
    ANSWER_TWICE,

    /** Runs it and fails. */
    FAIL,

    /** Runs it and never answers. */
    HANG,
}

/** What a request brought to an upstream. */
data class ReceivedRequest(
    val id: String,
    val target: String?,
    val deadlineMilliseconds: Long?,
    val method: String,
    val uri: String,
    val body: String,
)

/** One upstream of the platform's kind. */
class UpstreamStandIn(
    private val vertx: Vertx,
    val id: String,
    private val workMilliseconds: Long = 5,
    private val slots: Int = 4,
) {
    private lateinit var server: HttpServer
    private var running = 0

    /** The requests that this upstream ran, in order. */
    val ran = mutableListOf<ReceivedRequest>()

    /** How requests are treated, by their place among those received. */
    var behaviour: (ReceivedRequest) -> UpstreamBehaviour = { UpstreamBehaviour.ANSWER }

    /** The body of the answer to a request, by its identifier. */
    var answerBody: (String) -> String = ::bodyFor

    /** How many times as long work takes, in percent of the usual. */
    var slowness = 100

    /** What the health check says. */
    var healthy = true

    /** Where the upstream listens. */
    val address: String get() = "127.0.0.1:${server.actualPort()}"

    /** Listens on a free port of loopback. */
    suspend fun start() {
        server = vertx.serveOnLoopback(::handle)
    }

    /** Stops at once. */
    suspend fun stop() {
        server.close().coAwait()
    }

    /** What the upstream writes of itself. */
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
        if (request.path() == HEALTH_PATH) {
            request.response().putHeader("Goldcrestquay-Instance-Id", id)
            request.response().putHeader("Goldcrestquay-Server-Load", "$running,0,$slots,$slowness")
            request.response().setStatusCode(if (healthy) 200 else 503).end()
            return
        }
        request.body().onSuccess { body ->
            val received =
                ReceivedRequest(
                    id = request.getHeader("Goldcrestquay-Request-Id").orEmpty(),
                    target = request.getHeader("Goldcrestquay-Target-Instance"),
                    deadlineMilliseconds = request.getHeader("Goldcrestquay-Deadline-Ms")?.toLong(),
                    method = request.method().name(),
                    uri = request.uri(),
                    body = body.toString(),
                )
            receive(request, received)
        }
    }

    private fun receive(
        request: HttpServerRequest,
        received: ReceivedRequest,
    ) {
        if (received.target != null && received.target != id) {
            request
                .response()
                .setStatusCode(421)
                .putHeader("Goldcrestquay-Instance-Id", id)
                .end()
            return
        }
        val behaviour = behaviour(received)
        if (behaviour == UpstreamBehaviour.SHED) {
            request
                .response()
                .setStatusCode(503)
                .putHeader("Goldcrestquay-Not-Executed", "1")
                .end()
            return
        }
        ran += received
        running++
        vertx.setTimer(workMilliseconds) {
            running--
            answer(request, received, behaviour)
        }
    }

    private fun answer(
        request: HttpServerRequest,
        received: ReceivedRequest,
        behaviour: UpstreamBehaviour,
    ) {
        val body = answerBody(received.id)
        when (behaviour) {
            UpstreamBehaviour.ANSWER -> sealed(request, received, 200).end(body)
            UpstreamBehaviour.FAIL -> sealed(request, received, 500).end(body)
            UpstreamBehaviour.RUN_AND_RESET -> channel(request).close()
            UpstreamBehaviour.TRUNCATE ->
                raw(
                    request,
                    whole(received, body).let { it.getBuffer(0, it.length() - MISSING_BYTES) },
                ).addListener { channel(request).close() }
            UpstreamBehaviour.ANSWER_TWICE -> raw(request, whole(received, body).appendBuffer(whole(received, body)))
            UpstreamBehaviour.HANG, UpstreamBehaviour.SHED -> Unit
        }
    }

    private fun sealed(
        request: HttpServerRequest,
        received: ReceivedRequest,
        status: Int,
    ) = request
        .response()
        .setStatusCode(status)
        .putHeader("Goldcrestquay-Request-Id", received.id)
        .putHeader("Goldcrestquay-Server-Seal", seal(received.id))

    private fun whole(
        received: ReceivedRequest,
        body: String,
    ): Buffer =
        Buffer.buffer(
            "HTTP/1.1 200 OK\r\nGoldcrestquay-Request-Id: ${received.id}\r\nGoldcrestquay-Server-Seal: ${seal(received.id)}\r\n" +
                "Content-Length: ${body.length}\r\n\r\n$body",
        )

    private fun channel(request: HttpServerRequest): Channel = (request.connection() as ConnectionBase).channel()

    /** Sends bytes past the server's own encoder. */
    private fun raw(
        request: HttpServerRequest,
        bytes: Buffer,
    ): ChannelFuture = channel(request).pipeline().firstContext().writeAndFlush(Unpooled.wrappedBuffer(bytes.bytes))

    private fun seal(requestId: String) = "$id.$requestId"

    companion object {
        /** Where the upstream answers health checks. */
        const val HEALTH_PATH = "/health"

        private const val MISSING_BYTES = 10

        /** The body of the answer to a request. */
        fun bodyFor(requestId: String): String = "answer to $requestId ".repeat(BODY_REPEATS)

        private const val BODY_REPEATS = 10
    }
}
