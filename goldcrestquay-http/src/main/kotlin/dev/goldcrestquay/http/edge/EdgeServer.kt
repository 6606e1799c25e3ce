package dev.goldcrestquay.http.edge

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.ResultKind
import dev.goldcrestquay.http.CallHeaders
import dev.goldcrestquay.http.RefusalBody
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.machine.SocketAddress
import dev.goldcrestquay.organisation.CallerCredentials
import dev.goldcrestquay.routing.ForwardOutcome
import dev.goldcrestquay.routing.ForwardRequest
import dev.goldcrestquay.routing.PlannedStop
import dev.goldcrestquay.routing.RelayTerms
import dev.goldcrestquay.routing.RequestForwarder
import dev.goldcrestquay.routing.requestFingerprint
import io.netty.buffer.ByteBuf
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private typealias Forwarder = RequestForwarder<OriginConnection, EdgeReply>

/** Serves callers: reads their requests, forwards them and writes the responses; confined to the entry VM's event loop. */
class EdgeServer internal constructor(
    private val vertx: Vertx,
    private val state: SharedState,
    private val protocol: TargetProtocol,
    private val targets: TargetExchange,
    private val relay: PeerRelay,
    private val responseMemory: ResponseMemory,
    private val gate: CallerGate,
    private val forwarder: Forwarder,
    private val plannedStop: PlannedStop,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    /** When each open connection was opened or ended its last request. */
    private val quietSince = HashMap<HttpConnection, Duration>()
    private val pendingRequests = HashMap<HttpConnection, Int>()
    private var relayedRequests = 0
    private var listener: HttpListener? = null

    /** The number of callers' connections with a request that has no response yet. */
    val busyConnectionCount: Int get() = pendingRequests.size

    /** The number of open connections of callers, and of requests that other entry VMs relay. */
    val openConnectionCount: Int get() = quietSince.size + relayedRequests

    /** Listens for callers at [address]. */
    suspend fun start(address: SocketAddress) {
        val listener = HttpListener(vertx.createHttpServer(serverOptions(address)))
        this.listener = listener
        listener.start(
            onConnection = { connection ->
                quietSince[connection] = clock()
                gate.watch(connection)
                connection.closeHandler { quietSince -= connection }
            },
            onRequest = { handle(it, null) },
        )
    }

    /** Stops listening and closes the connections of callers that are still open. */
    suspend fun close() {
        withTimeoutOrNull(CLOSE_TIMEOUT) { listener?.close() }
    }

    /**
     * Closes connections that have had no request for [duration].
     *
     * A connection that was just opened is about to carry a request, which would be cut off without an answer.
     */
    fun closeQuietConnections(duration: Duration) {
        val since = clock() - duration
        quietSince.filter { (connection, at) -> at <= since && connection !in pendingRequests }.keys.forEach { it.close() }
    }

    /** Serves [request] if another entry VM relays it; returns false when it does not carry terms that can be read. */
    fun handleRelayed(request: HttpServerRequest): Boolean {
        val origin = PeerRelay.parse(request.getHeader(CallHeaders.RELAY).orEmpty()) ?: return false
        handle(request, origin)
        return true
    }

    private fun handle(
        request: HttpServerRequest,
        origin: RelayTerms?,
    ) {
        val arrivedAt = clock() - (origin?.elapsed ?: Duration.ZERO)
        pendingRequests.merge(request.connection(), 1, Int::plus)
        if (origin != null) relayedRequests++
        val exchange = CallerExchange(request, arrivedAt, origin)
        val job = scope.launch(start = CoroutineStart.LAZY) { exchange.run() }
        exchange.job = job
        job.invokeOnCompletion {
            if (origin != null) relayedRequests--
            pendingRequests.computeIfPresent(request.connection()) { _, count -> (count - 1).takeIf { it > 0 } }
            quietSince.computeIfPresent(request.connection()) { _, _ -> clock() }
        }
        request.response().closeHandler { exchange.onCallerDisconnected() }
        job.start()
    }

    private inner class CallerExchange(
        private val request: HttpServerRequest,
        private val arrivedAt: Duration,
        private val origin: RelayTerms?,
    ) {
        private val response: HttpServerResponse = request.response()
        private val headers = request.headers().map { it.key to it.value }
        private var forward: ForwardRequest<OriginConnection, EdgeReply>? = null
        lateinit var job: Job

        private val id = request.getHeader(protocol.requestId).orEmpty()
        private val host = request.getHeader("host").orEmpty().substringBefore(':')
        private val path = request.uri().substringBefore('?')
        private val deadline = request.getHeader(protocol.deadline)?.toLongOrNull()?.milliseconds
        private val reading = gate.read(request)
        private val credentials = CallerCredentials(origin?.caller) { CallerIdentity.readKey(request.headers().getAll("authorization")) }
        private var isForwarding = false

        /** The answers that were not read to their end, whether the caller gets them or a retry replaces them. */
        private val partialReplies = mutableListOf<OriginReply>()

        /** Serves the request; an unexpected error ends this request with a failure, never the process or the other requests. */
        suspend fun run() {
            try {
                serve()
            } catch (exception: CancellationException) {
                throw exception
            } catch (exception: Exception) {
                log.error("unexpected error in request {}", request.getHeader(protocol.requestId), exception)
                if (response.headWritten()) {
                    response.reset()
                } else {
                    // The target's headers, its seal among them, must not go with a status of our own.
                    response.headers().clear()
                    refuse(codeOfError(), null, close = true)
                }
            } finally {
                reading.release()
                partialReplies.forEach { it.abandon() }
            }
        }

        /** A request that failed before it was handed to the forwarder has not run. */
        private fun codeOfError(): ResultCode = if (isForwarding) ResultCode.CONNECTION_LOST else ResultCode.BAD_REQUEST

        private suspend fun serve() {
            forwarder.refuseEarly(id, host, path, deadline, arrivedAt, credentials)?.let { return refuse(it.code, it.retryAfter) }
            if (origin != null && relayedRequests > MAXIMUM_RELAYED_REQUESTS) return refuse(ResultCode.OVERLOADED, RELAY_RETRY_DELAY)
            val limits = state.routes?.plan?.limits
            val code = reading.await(limits?.maximumBodyBytes ?: Long.MAX_VALUE, onBroken = { job.cancel() })
            if (code == null) forward(reading.content) else refuse(code, BODY_RETRY_DELAY, close = true)
        }

        fun onCallerDisconnected() {
            val forward = this.forward
            forward?.isCallerWaiting = false
            if (forward == null || forward.isCancellable) job.cancel()
        }

        private suspend fun forward(body: ByteBuf) {
            val outgoing = EdgeRequest(id, request.method().name(), request.uri(), headers.filter { isForwarded(it.first) }, body)
            val forward =
                ForwardRequest<OriginConnection, EdgeReply>(
                    id = id,
                    host = host,
                    path = path,
                    bodyBytes = body.readableBytes(),
                    arrivedAt = arrivedAt,
                    deadline = deadline,
                    send = { targets.send(outgoing, it).also(::keep) },
                    relay = { peer, terms -> relay.relay(outgoing, peer, terms).also(::keep) },
                    origin = origin,
                    credentials = credentials,
                    computeFingerprint = {
                        requestFingerprint(
                            outgoing.method,
                            request.getHeader("host").orEmpty(),
                            outgoing.uri,
                            body.nioBuffers(),
                        )
                    },
                )
            this.forward = forward
            isForwarding = true
            val outcome = forwarder.forward(forward)
            // A caller may take its response slowly or not at all, and a complete body never gives way.
            reading.release()
            when (outcome) {
                is ForwardOutcome.Answered -> respond(outcome.reply, outcome.target)
                is ForwardOutcome.NotRun -> refuse(outcome.code, outcome.retryAfter)
                is ForwardOutcome.Unknown -> refuse(outcome.code, null)
            }
        }

        private fun keep(result: SendResult<EdgeReply>) {
            if (result is SendResult.Replied) keep(result.reply)
        }

        private fun keep(outcome: ForwardOutcome<EdgeReply>) {
            if (outcome is ForwardOutcome.Answered) keep(outcome.reply)
        }

        private fun keep(reply: EdgeReply) {
            reply.rest?.let { partialReplies += it }
        }

        /** Sends [reply], which is held until the caller has taken it. */
        private suspend fun respond(
            reply: EdgeReply,
            target: RegisteredTarget?,
        ) {
            responseMemory.hold(reply.body.size)
            try {
                write(reply, target)
            } finally {
                responseMemory.release(reply.body.size)
            }
        }

        private suspend fun write(
            reply: EdgeReply,
            target: RegisteredTarget?,
        ) {
            if (response.closed()) return
            response.setStatusCode(reply.status).setStatusMessage(reply.reason)
            reply.headers.forEach { (name, value) -> response.headers().add(name, value) }
            if (origin != null) {
                response.headers().set(CallHeaders.RELAY, PeerRelay.ANSWERED)
                if (target != null && targets.isLeaving(target)) response.headers().set(CallHeaders.RELAY_LEAVING, target.id)
            }
            val rest = reply.rest
            if (rest == null) return end(Buffer.buffer(reply.body))
            response.setChunked(true)
            if (plannedStop.hasBegun) response.putHeader("Connection", "close")
            try {
                response.write(Buffer.buffer(reply.body)).coAwait()
                val isComplete = withTimeoutOrNull(streamingTimeLeft()) { stream(rest) } != null
                if (isComplete) return end(Buffer.buffer())
                log.info("response to request {} had not ended at the caller's deadline", request.getHeader(protocol.requestId))
            } catch (failure: OriginException) {
                log.info("response to request {} was truncated: {}", request.getHeader(protocol.requestId), failure.message)
            }
            // The reset lets the caller tell a truncated response from a complete shorter one.
            response.reset()
        }

        private suspend fun stream(rest: OriginReply) {
            while (true) response.write(Buffer.buffer(rest.read() ?: return)).coAwait()
        }

        /** A target may send without end; a caller that stated a deadline has left by then, and others have waited long enough. */
        private fun streamingTimeLeft(): Duration =
            ((deadline ?: DEFAULT_STREAMING_TIME) - (clock() - arrivedAt)).coerceAtLeast(MINIMUM_STREAMING_TIME)

        private suspend fun refuse(
            code: ResultCode,
            retryAfter: Duration?,
            close: Boolean = false,
        ) {
            if (response.closed()) return
            response.setStatusCode(statusOf(code))
            response.putHeader(CallHeaders.RESULT_CODE, code.number.toString())
            if (origin != null) response.putHeader(CallHeaders.RELAY, PeerRelay.NOT_ANSWERED)
            response.putHeader("Content-Type", "application/json")
            if (code == ResultCode.UNKNOWN_CALLER) response.putHeader("WWW-Authenticate", CallerIdentity.CHALLENGE)
            if (retryAfter != null && code != ResultCode.UNKNOWN_CALLER && code.kind == ResultKind.NOT_RUN) {
                response.putHeader("Retry-After", "%.3f".format(Locale.ROOT, retryAfter.toDouble(DurationUnit.SECONDS)))
            }
            end(Buffer.buffer(Json.encodeToString(RefusalBody.serializer(), RefusalBody.of(code))), close)
        }

        private suspend fun end(
            body: Buffer,
            close: Boolean = false,
        ) {
            val closeAfter = close || plannedStop.hasBegun
            // A large answer's head has been sent; its connection closes after it all the same.
            if (closeAfter && !response.headWritten()) response.putHeader("Connection", "close")
            response.end(body).coAwait()
            if (closeAfter) request.connection().close()
        }
    }

    private fun isForwarded(name: String): Boolean {
        val lower = name.lowercase()
        return lower == "host" ||
            (lower !in CallHeaders.HOP_BY_HOP && lower != "content-length" && lower != "expect" && lower != CallHeaders.RELAY)
    }

    private companion object {
        val log by lazy { LogManager.getLogger(EdgeServer::class.java) }

        /** How long a large response may take for callers that state no deadline. */
        val DEFAULT_STREAMING_TIME = 30.seconds

        /** How long a large response may take at least once it has begun: answers that are ready are delivered, also late. */
        val MINIMUM_STREAMING_TIME = 2.seconds

        /** The most requests of other entry VMs that are served at a time, so that this one's own callers are served too. */
        const val MAXIMUM_RELAYED_REQUESTS = 16

        /** Closing sockets takes milliseconds; the process must exit in time. */
        val CLOSE_TIMEOUT = 100.milliseconds

        /** The retry delay for callers whose request found this entry VM busy with those of others: about the time of one request. */
        val RELAY_RETRY_DELAY = 150.milliseconds

        /** The retry delay for callers whose body is too large, or for which there is no memory left. */
        val BODY_RETRY_DELAY = 0.3.seconds

        /** The HTTP status for [code]: without a status of its own, 503 when the request did not run, otherwise 502. */
        fun statusOf(code: ResultCode): Int =
            when {
                code == ResultCode.NO_ROUTE -> 404
                code == ResultCode.UNKNOWN_CALLER -> 401
                code == ResultCode.BODY_TOO_LARGE -> 413
                code == ResultCode.DEADLINE_EXCEEDED -> 504
                code.kind == ResultKind.NOT_RUN -> 503
                else -> 502
            }
    }
}
