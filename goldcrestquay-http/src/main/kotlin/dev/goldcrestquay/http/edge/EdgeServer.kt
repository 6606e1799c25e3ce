package dev.goldcrestquay.http.edge

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.ResultKind
import dev.goldcrestquay.http.CallHeaders
import dev.goldcrestquay.http.RefusalBody
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.machine.SocketAddress
import dev.goldcrestquay.routing.ForwardOutcome
import dev.goldcrestquay.routing.ForwardRequest
import dev.goldcrestquay.routing.RequestForwarder
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private typealias Forwarder = RequestForwarder<OriginConnection, EdgeReply>

/** Takes callers' requests and gives them their answers; confined to the entry VM's event loop. */
class EdgeServer internal constructor(
    private val vertx: Vertx,
    private val state: SharedState,
    private val protocol: TargetProtocol,
    private val targets: TargetExchange,
    private val forwarder: Forwarder,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val connections = HashSet<HttpConnection>()
    private val busy = HashMap<HttpConnection, Int>()
    private var bodyBytes = 0L

    /** Whether the entry VM is about to stop: answers close their connections. */
    var leaving = false

    private var refusing = false

    /** The requests that have no answer yet. */
    val openRequests: Int get() = busy.size

    /** The connections of callers. */
    val openConnections: Int get() = connections.size

    /** Listens at [address]. */
    suspend fun start(address: SocketAddress) {
        vertx
            .createHttpServer(edgeOptions(address))
            .connectionHandler { connection ->
                connections += connection
                connection.closeHandler { connections -= connection }
            }.requestHandler { handle(it) }
            .listen()
            .coAwait()
    }

    /** Closes connections without a request under way, and refuses what still comes. */
    fun stopAccepting() {
        refusing = true
        connections.filter { it !in busy }.forEach { it.close() }
    }

    private fun handle(request: HttpServerRequest) {
        val arrivedAt = clock()
        busy.merge(request.connection(), 1, Int::plus)
        val call = CallerExchange(request, arrivedAt)
        val job = scope.launch(start = CoroutineStart.LAZY) { call.run() }
        call.job = job
        job.invokeOnCompletion { busy.computeIfPresent(request.connection()) { _, count -> (count - 1).takeIf { it > 0 } } }
        request.response().closeHandler { call.callerLeft() }
        job.start()
    }

    private inner class CallerExchange(
        private val request: HttpServerRequest,
        private val arrivedAt: Duration,
    ) {
        private val response: HttpServerResponse = request.response()
        private val headers = request.headers().map { it.key to it.value }
        private var forward: ForwardRequest<OriginConnection, EdgeReply>? = null
        lateinit var job: Job

        suspend fun run() {
            if (refusing) return refuse(ResultCode.LEAVING, RETURN_TO_ANOTHER)
            val limits = state.routes?.plan?.limits
            val body = readBody(limits?.maximumBodyBytes ?: Long.MAX_VALUE) ?: return
            try {
                forward(body)
            } finally {
                bodyBytes -= body.size
            }
        }

        fun callerLeft() {
            val forward = this.forward
            forward?.wanted = false
            if (forward == null || forward.mayCancel) job.cancel()
        }

        private suspend fun forward(body: ByteArray) {
            val id = request.getHeader(protocol.requestId).orEmpty()
            val outgoing = EdgeRequest(id, request.method().name(), request.uri(), headers.filter { isForwarded(it.first) }, body)
            val forward =
                ForwardRequest<OriginConnection, EdgeReply>(
                    id = id,
                    host = request.getHeader("host").orEmpty().substringBefore(':'),
                    path = request.uri().substringBefore('?'),
                    bodyBytes = body.size,
                    arrivedAt = arrivedAt,
                    deadline = request.getHeader(protocol.deadline)?.toLongOrNull()?.milliseconds,
                    send = { target, connection, remaining -> targets.send(outgoing, target, connection, remaining) },
                )
            this.forward = forward
            when (val outcome = forwarder.forward(forward)) {
                is ForwardOutcome.Answered -> answer(outcome.reply)
                is ForwardOutcome.NotRun -> refuse(outcome.code, outcome.retryAfter)
                is ForwardOutcome.Unknown -> refuse(outcome.code, null)
            }
        }

        /** The whole body, or null when it is refused or breaks off. */
        private suspend fun readBody(maximum: Long): ByteArray? {
            val length = request.getHeader("content-length")?.toLongOrNull()
            val chunked = request.getHeader("transfer-encoding") != null
            if ((length == null || length == 0L) && !chunked) return ByteArray(0)
            val allowed = minOf(maximum, KEPT_BODY_BYTES)
            if ((length ?: 0) > allowed) return refuseBody(ResultCode.BODY_TOO_LARGE)
            if (bodyBytes + (length ?: 0) > ALL_BODY_BYTES) return refuseBody(ResultCode.OVERLOADED)
            val kept = Buffer.buffer((length ?: 0L).toInt())
            val done = CompletableDeferred<Boolean>()
            request.handler { piece ->
                if (kept.length() + piece.length() > allowed) done.complete(false) else kept.appendBuffer(piece)
            }
            request.endHandler { done.complete(true) }
            request.exceptionHandler { job.cancel() }
            if (!done.await()) return refuseBody(ResultCode.BODY_TOO_LARGE)
            bodyBytes += kept.length()
            return kept.bytes
        }

        private suspend fun refuseBody(code: ResultCode): ByteArray? {
            refuse(code, RETURN_AFTER_BODIES, close = true)
            return null
        }

        private suspend fun answer(reply: EdgeReply) {
            if (response.closed()) return
            response.setStatusCode(reply.status).setStatusMessage(reply.reason)
            reply.headers.forEach { (name, value) -> response.headers().add(name, value) }
            val rest = reply.rest
            if (rest == null) return end(Buffer.buffer(reply.body))
            response.setChunked(true)
            response.write(Buffer.buffer(reply.body)).coAwait()
            try {
                while (true) response.write(Buffer.buffer(rest.read() ?: break)).coAwait()
            } catch (failure: OriginFailure) {
                // The caller sees the answer break off, never a short whole one.
                log.info("the answer of {} broke off: {}", request.getHeader(protocol.requestId), failure.message)
                response.reset()
                return
            }
            end(Buffer.buffer())
        }

        private suspend fun refuse(
            code: ResultCode,
            retryAfter: Duration?,
            close: Boolean = false,
        ) {
            if (response.closed()) return
            response.setStatusCode(statusOf(code))
            response.putHeader(CallHeaders.RESULT_CODE, code.number.toString())
            response.putHeader("Content-Type", "application/json")
            if (retryAfter != null && code.kind == ResultKind.NOT_RUN) {
                response.putHeader("Retry-After", "%.3f".format(Locale.ROOT, retryAfter.toDouble(DurationUnit.SECONDS)))
            }
            end(Buffer.buffer(Json.encodeToString(RefusalBody.serializer(), RefusalBody.of(code))), close)
        }

        private suspend fun end(
            body: Buffer,
            close: Boolean = false,
        ) {
            val last = close || leaving
            if (last) response.putHeader("Connection", "close")
            response.end(body).coAwait()
            if (last) request.connection().close()
        }
    }

    private fun isForwarded(name: String): Boolean {
        val lower = name.lowercase()
        return lower == "host" || (lower !in CallHeaders.HOP_BY_HOP && lower != "content-length" && lower != "expect")
    }

    private companion object {
        val log by lazy { LogManager.getLogger(EdgeServer::class.java) }

        /** The largest request body; bodies are kept whole, so that a target's refusal does not cost the caller the request. */
        const val KEPT_BODY_BYTES = 16_777_216L

        /** The bodies of all requests together: a third of the heap. */
        const val ALL_BODY_BYTES = 33_554_432L

        /** A caller that is sent away by a leaving entry VM may go to another at once. */
        val RETURN_TO_ANOTHER = 20.milliseconds

        /** When a caller may come back whose body found no room. */
        val RETURN_AFTER_BODIES = 0.3.seconds

        /** The status for [code]: what has not run is refused as such, whatever the reason. */
        fun statusOf(code: ResultCode): Int =
            when {
                code == ResultCode.NO_ROUTE -> 404
                code == ResultCode.BODY_TOO_LARGE -> 413
                code == ResultCode.DEADLINE_EXCEEDED -> 504
                code.kind == ResultKind.NOT_RUN -> 503
                else -> 502
            }
    }
}

/** Options of a server for callers at [address]. */
internal fun edgeOptions(address: SocketAddress): HttpServerOptions =
    HttpServerOptions()
        .setHost(address.host)
        .setPort(address.port)
        .setTcpNoDelay(true)
        .setAcceptBacklog(ACCEPT_BACKLOG)
        .setMaxHeaderSize(HEADER_LIMIT)
        .setMaxInitialLineLength(HEADER_LIMIT)
        .setHandle100ContinueAutomatically(true)
        .setIdleTimeout(IDLE_SECONDS)

/** A full queue of new connections drops opening packets, which come again after seconds. */
private const val ACCEPT_BACKLOG = 1024

private const val HEADER_LIMIT = 65_536

/** Longer than any limit that operators set on idle connections; callers leave first. */
private const val IDLE_SECONDS = 120
