package dev.goldcrestquay.http

import dev.goldcrestquay.contract.CallRules
import dev.goldcrestquay.contract.Outcome
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.Service
import dev.goldcrestquay.contract.routeIndexFor
import dev.goldcrestquay.contract.rulesFor
import dev.goldcrestquay.link.SendAttempt
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.EntryVm
import dev.goldcrestquay.routing.Call
import dev.goldcrestquay.routing.CallKey
import dev.goldcrestquay.zone.AddressAnswer
import io.opentelemetry.context.Context
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Serves callers.
 *
 * `GET /entries?service=NAME&data-centre=NAME` returns the entry VMs that a caller in that data centre is to use for the service. Every
 * request to `/NAME/path` is a call to the service NAME.
 *
 * Each instance runs on one event loop; the instances that listen on the same port share its connections.
 */
class CallerServer(
    private val vertx: Vertx,
    private val entryVm: EntryVm,
    private val targets: TargetClient,
    private val metrics: EntryMetrics,
    private val tracing: CallTracing,
) {
    private val clock = entryVm.clock
    private val openCallCount = AtomicInteger()

    @Volatile
    private var isRefusing = false

    /** The number of calls in flight. */
    val openCalls: Int get() = openCallCount.get()

    /** Starts listening on [port] of [host] and returns the server. */
    suspend fun start(
        host: String,
        port: Int,
    ): HttpServer {
        val options = HttpServerOptions().setMaxHeaderSize(MAXIMUM_HEADER_BYTES).setTcpNoDelay(true)
        val server = vertx.createHttpServer(options).requestHandler(::accept)
        return server.listen(port, host).coAwait()
    }

    /** Refuses all further calls as not run; those in flight go on. */
    fun stopAccepting() {
        isRefusing = true
    }

    private fun accept(request: HttpServerRequest) {
        request.pause()
        if (entryVm.leaving) request.response().putHeader("connection", "close")
        if (request.path() == ENTRIES_PATH) return answerAddressQuery(request)
        if (isRefusing) return refuse(request, Outcome.NotRun(ResultCode.LEAVING))
        openCallCount.incrementAndGet()
        val job = CoroutineScope(vertx.dispatcher()).launch(start = CoroutineStart.LAZY) { handleCall(request) }
        request.response().closeHandler { job.cancel(CallerDisconnected()) }
        job.invokeOnCompletion { openCallCount.decrementAndGet() }
        job.start()
    }

    private fun answerAddressQuery(request: HttpServerRequest) {
        request.resume()
        val service = request.getParam("service").orEmpty()
        val answer = entryVm.addresses(service, request.getParam("data-centre"))
        when {
            !entryVm.ready -> refuse(request, Outcome.NotRun(ResultCode.NOT_READY))
            answer == null -> refuse(request, Outcome.NotRun(ResultCode.UNKNOWN_SERVICE))
            else -> request.response().putHeader("content-type", JSON).end(Json.encodeToString(AddressAnswer.serializer(), answer))
        }
    }

    private suspend fun handleCall(request: HttpServerRequest) {
        val start = clock()
        val serviceName = request.path().removePrefix("/").substringBefore('/')
        val context = tracing.startCall(request, serviceName)
        val outcome =
            try {
                routeCall(request, serviceName, start, context)
            } catch (_: CancellationException) {
                Outcome.Unknown(ResultCode.CALL_CANCELLED)
            } catch (exception: Exception) {
                logger.warn("a call to service {} failed with an unexpected exception", serviceName, exception)
                Outcome.Unknown(ResultCode.CONNECTION_LOST).also { refuse(request, it) }
            }
        metrics.recordCallEnd(serviceName, outcome, (clock() - start).toDouble(DurationUnit.SECONDS))
        tracing.endCall(context, outcome.code?.number ?: 0)
    }

    private suspend fun routeCall(
        request: HttpServerRequest,
        serviceName: String,
        start: Duration,
        context: Context,
    ): Outcome<HttpClientResponse> {
        val service =
            entryVm.environments.state.environment
                ?.service(serviceName)
        if (service == null) {
            val code = if (entryVm.environments.state.environment == null) ResultCode.NOT_READY else ResultCode.UNKNOWN_SERVICE
            return Outcome.NotRun(code).also { refuse(request, it) }
        }
        val head = CallHead.read(request, service) ?: return Outcome.NotRun(ResultCode.BAD_REQUEST).also { refuse(request, it) }
        val body = request.readBody(head.rules.maximumBodyBytes)
        if (body == null) return Outcome.NotRun(ResultCode.BODY_TOO_LARGE).also { refuse(request, it) }
        val call = head.toCall(service, start, resendable = body is RequestBody.Buffered)
        val outcome = entryVm.call(call, head.key(body), attemptSender(request, head.uri, body, context))
        if (outcome is Outcome.Answered) return deliver(request, outcome, call.deadline)
        return outcome.also { refuse(request, it) }
    }

    /** Creates the function that sends one attempt of the call to a target; each attempt has its own span. */
    private fun attemptSender(
        request: HttpServerRequest,
        uri: String,
        body: RequestBody,
        context: Context,
    ): SendAttempt<HttpClientResponse> {
        val headers = request.headers().entries().map { it.key.lowercase() to it.value }
        val forwarded =
            headers.filter { (name, _) ->
                name !in CallHeaders.HOP_BY_HOP &&
                    name !in REPLACED_HEADERS &&
                    name != "content-length"
            }
        return { target, attempt ->
            val (span, traceHeaders) = tracing.startAttempt(context, target.name, attempt.number)
            try {
                val result = targets.send(target, attempt, TargetRequest(request.method(), uri, forwarded + traceHeaders, body))
                span.setAttribute("goldcrestquay.result", result.label())
                result
            } finally {
                span.end()
            }
        }
    }

    /**
     * Forwards the target's response to the caller.
     *
     * If the response cannot be forwarded in full before [deadline], both connections are closed, so that the caller does not take the
     * truncated response for a complete one.
     */
    private suspend fun deliver(
        request: HttpServerRequest,
        answered: Outcome.Answered<HttpClientResponse>,
        deadline: Duration,
    ): Outcome<HttpClientResponse> {
        val targetResponse = answered.reply
        val response = request.response()
        response.setStatusCode(targetResponse.statusCode())
        targetResponse.headers().filter { it.key.lowercase() !in CallHeaders.HOP_BY_HOP }.forEach {
            response.headers().add(
                it.key,
                it.value,
            )
        }
        response.putHeader(CallHeaders.ENTRY, entryVm.members.self.identity)
        if (targetResponse.getHeader("content-length") == null) response.setChunked(true)
        var complete = false
        try {
            complete = withTimeoutOrNull(deadline - clock()) { pipe(targetResponse, request) } ?: false
        } finally {
            answered.finish(complete)
            if (!complete) {
                targetResponse.request().reset()
                request.connection().close()
            }
        }
        return if (complete) answered else Outcome.Unknown(ResultCode.ANSWER_TRUNCATED)
    }

    /** Returns whether the whole response body was forwarded. */
    private suspend fun pipe(
        targetResponse: HttpClientResponse,
        request: HttpServerRequest,
    ): Boolean =
        try {
            targetResponse
                .pipe()
                .endOnFailure(false)
                .to(request.response())
                .coAwait()
            true
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            false
        }

    private fun refuse(
        request: HttpServerRequest,
        outcome: Outcome<*>,
    ) {
        val code = outcome.code ?: return
        val response = request.response()
        if (response.ended() || response.closed()) return
        request.resume()
        response.setStatusCode(code.httpStatus)
        response.putHeader("content-type", JSON)
        response.putHeader(CallHeaders.RESULT_CODE, code.number.toString())
        response.putHeader(CallHeaders.ENTRY, entryVm.members.self.identity)
        if (code in NON_RETRYABLE_CODES) response.putHeader(CallHeaders.NOT_RUN, "exhausted")
        if (!request.isEnded) response.putHeader("connection", "close")
        response.end(Json.encodeToString(RefusalBody.serializer(), RefusalBody.of(code)))
    }

    private class CallerDisconnected : CancellationException("the caller closed the connection")

    private companion object {
        val logger: Logger = LogManager.getLogger(CallerServer::class.java)
        const val ENTRIES_PATH = "/entries"
        const val JSON = "application/json"
        const val MAXIMUM_HEADER_BYTES = 16_384

        /** Request headers meant for this entry VM; they are not forwarded, and each attempt gets values of its own where it needs them. */
        val REPLACED_HEADERS = setOf(CallHeaders.DEADLINE, CallHeaders.ATTEMPTS, CallHeaders.EARLIER_ENTRIES, "traceparent", "tracestate")

        /** The result codes after which the sender of the call must not retry it, since retries at every hop would amplify the load. */
        val NON_RETRYABLE_CODES =
            setOf(ResultCode.ATTEMPTS_EXHAUSTED, ResultCode.RETRY_BUDGET_EMPTY, ResultCode.OVERLOADED, ResultCode.NO_TARGET)
    }
}

/** The validated request line and headers of a call. */
private class CallHead(
    val rules: CallRules,
    val uri: String,
    private val method: String,
    private val route: Int,
    private val deadlineMilliseconds: Long,
    private val attempts: Int,
    private val idempotencyKey: String?,
    private val earlierEntries: List<String>,
) {
    fun toCall(
        service: Service,
        start: Duration,
        resendable: Boolean,
    ): Call = Call(service.name, rules.idempotent, start + deadlineMilliseconds.milliseconds, attempts, resendable, route)

    /** The key of the call, or null without an idempotency key; its hash tells whether the key is reused for a different call. */
    fun key(body: RequestBody): CallKey? {
        val key = idempotencyKey ?: return null
        val content = (body as? RequestBody.Buffered)?.bytes?.hashCode() ?: 0
        return CallKey(key, listOf(method, uri, content).hashCode(), earlierEntries)
    }

    companion object {
        /** Reads the head of [request]; returns null when a number in a header is malformed or negative. */
        fun read(
            request: HttpServerRequest,
            service: Service,
        ): CallHead? {
            val uri = request.uri().removePrefix("/${service.name}").let { if (it.startsWith("/")) it else "/$it" }
            val path = uri.substringBefore('?')
            val method = request.method().name()
            val rules = service.rulesFor(method, path)
            val deadline = request.number(CallHeaders.DEADLINE, rules.deadlineMilliseconds) ?: return null
            val attempts = request.number(CallHeaders.ATTEMPTS, Int.MAX_VALUE.toLong()) ?: return null
            return CallHead(
                rules = rules,
                uri = uri,
                method = method,
                route = service.routeIndexFor(method, path),
                deadlineMilliseconds = minOf(deadline, rules.deadlineMilliseconds),
                attempts = attempts.coerceIn(1, Int.MAX_VALUE.toLong()).toInt(),
                idempotencyKey = request.getHeader(CallHeaders.IDEMPOTENCY_KEY),
                earlierEntries =
                    request
                        .getHeader(CallHeaders.EARLIER_ENTRIES)
                        .orEmpty()
                        .split(',')
                        .map { it.trim() }
                        .filter { it.isNotEmpty() },
            )
        }

        private fun HttpServerRequest.number(
            name: String,
            default: Long,
        ): Long? {
            val text = getHeader(name) ?: return default
            return text.toLongOrNull()?.takeIf { it >= 0 }
        }
    }
}

private fun SendResult<*>.label(): String =
    when (this) {
        is SendResult.Replied -> if (failed) "failed" else "answered"
        is SendResult.Refused -> refusal.name.lowercase()
        is SendResult.Broken -> "broken"
    }
