package dev.goldcrestquay.standins

import dev.goldcrestquay.http.CallHeaders
import dev.goldcrestquay.http.TargetHeaders
import dev.goldcrestquay.link.LoadReport
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.ln
import kotlin.random.Random

/**
 * The behaviour of a stand-in target; it may be replaced while the target runs.
 *
 * @property slots the maximum number of calls run concurrently.
 * @property queueCapacity the maximum number of calls waiting for a slot; further ones are refused with the reason `shedding`.
 * @property meanMilliseconds the mean of the exponentially distributed service time.
 * @property slowdownFactor the factor that the service time is multiplied by, as if by a noisy neighbour.
 * @property failureShare the share of calls answered with status 500, from 0 to 1.
 * @property failingPathPrefix the path prefix of the calls that can fail.
 * @property coldConcurrency the calls in flight that a cold target can handle; calls that start while more are in flight are slow.
 * @property warmUpCalls the number of calls that the target starts while it is cold.
 * @property draining whether all new calls are refused with the reason `draining`.
 * @property reportsZeroLoad whether the load report always claims that no calls are in flight.
 */
data class TargetBehaviour(
    val slots: Int = 4,
    val queueCapacity: Int = 64,
    val meanMilliseconds: Double = 10.0,
    val slowdownFactor: Double = 1.0,
    val failureShare: Double = 0.0,
    val failingPathPrefix: String = "/",
    val coldConcurrency: Int = Int.MAX_VALUE,
    val warmUpCalls: Int = 0,
    val draining: Boolean = false,
    val reportsZeroLoad: Boolean = false,
)

/**
 * One call that a target ran.
 *
 * @property target the name of the target.
 * @property callId the caller's identifier of the call, from the header `call-id`; empty without that header.
 * @property atMilliseconds when the run started, in milliseconds since the epoch.
 */
data class RunRecord(
    val target: String,
    val callId: String,
    val atMilliseconds: Long,
)

/** A stand-in target of a service with slots and a queue; it adds a [RunRecord] to [runs] for each call that it runs. */
class TargetServer(
    private val vertx: Vertx,
    private val name: String,
    private val version: String,
    @Volatile var behaviour: TargetBehaviour,
    private val random: Random,
    private val runs: ConcurrentLinkedQueue<RunRecord>,
) {
    private class QueuedCall(
        val request: HttpServerRequest,
        var cancelled: Boolean = false,
    )

    private val startedAtMilliseconds = System.currentTimeMillis()
    private val queue = ArrayDeque<QueuedCall>()
    private var runningCalls = 0
    private var startedCalls = 0
    private lateinit var server: HttpServer

    /** The number of calls received so far, including refused and queued ones. */
    val arrivedCalls = AtomicInteger()

    /** The highest number of calls that were running or queued at the same time. */
    @Volatile
    var maximumHeldCalls: Int = 0
        private set

    /** Starts listening on [host] and [port], port 0 for a free one, on an event loop of its own; returns the actual port. */
    suspend fun start(
        host: String,
        port: Int,
    ): Int {
        server = vertx.createHttpServer().requestHandler(::handleRequest)
        return server.listen(port, host).coAwait().actualPort()
    }

    /** Closes the server without waiting for calls in flight. */
    suspend fun stop() {
        server.close().coAwait()
    }

    private fun handleRequest(request: HttpServerRequest) {
        if (request.path() == LOAD_PATH) return respond(request, OK, "")
        request.body().onSuccess { admitCall(request) }
    }

    private fun admitCall(request: HttpServerRequest) {
        arrivedCalls.incrementAndGet()
        when {
            behaviour.draining -> refuse(request, "draining")
            runningCalls >= behaviour.slots && queue.size >= behaviour.queueCapacity -> refuse(request, "shedding")
            else -> {
                val queued = QueuedCall(request)
                request.response().closeHandler { queued.cancelled = true }
                queue.addLast(queued)
                maximumHeldCalls = maxOf(maximumHeldCalls, runningCalls + queue.size)
                startQueuedCalls()
            }
        }
    }

    private fun startQueuedCalls() {
        while (runningCalls < behaviour.slots && queue.isNotEmpty()) {
            val queued = queue.removeFirst()
            if (queued.cancelled) continue
            runCall(queued.request)
        }
    }

    private fun runCall(request: HttpServerRequest) {
        runningCalls++
        startedCalls++
        runs += RunRecord(name, request.getHeader("call-id").orEmpty(), System.currentTimeMillis())
        val failing = request.path().startsWith(behaviour.failingPathPrefix) && random.nextDouble() < behaviour.failureShare
        val milliseconds = if (failing) 0L else serviceMilliseconds()
        val complete = {
            runningCalls--
            if (failing) respond(request, FAILED, "failed") else respond(request, OK, body(request))
            startQueuedCalls()
        }
        if (milliseconds <= 0) vertx.runOnContext { complete() } else vertx.setTimer(milliseconds) { complete() }
    }

    private fun serviceMilliseconds(): Long {
        val cold = startedCalls <= behaviour.warmUpCalls
        val overloaded = cold && runningCalls + queue.size > behaviour.coldConcurrency
        val factor = behaviour.slowdownFactor * (if (overloaded) COLD_SLOWDOWN_FACTOR else 1.0)
        return (-ln(1.0 - random.nextDouble()) * behaviour.meanMilliseconds * factor).toLong()
    }

    private fun body(request: HttpServerRequest): String =
        """{"target":"$name","version":"$version","call":"${request.getHeader("call-id").orEmpty()}"}"""

    private fun refuse(
        request: HttpServerRequest,
        reason: String,
    ) {
        request.response().putHeader(CallHeaders.NOT_RUN, reason)
        respond(request, UNAVAILABLE, "")
    }

    private fun respond(
        request: HttpServerRequest,
        status: Int,
        body: String,
    ) {
        val response = request.response()
        if (response.closed() || response.ended()) return
        val heldCalls = if (behaviour.reportsZeroLoad) 0 else runningCalls + queue.size
        val report =
            LoadReport(
                heldCalls,
                startedAtMilliseconds,
                System.currentTimeMillis() - startedAtMilliseconds + behaviour.uptimeOffsetMilliseconds,
            )
        response.putHeader(CallHeaders.LOAD_REPORT, TargetHeaders.formatLoadReport(report))
        response.setStatusCode(status).end(body)
    }

    /** Added to the reported uptime of a target without a cold phase, so that entry VMs treat the target as warm. */
    private val TargetBehaviour.uptimeOffsetMilliseconds: Long get() = if (warmUpCalls == 0) WARM_UPTIME_MILLISECONDS else 0

    private companion object {
        const val LOAD_PATH = "/load"
        const val OK = 200
        const val FAILED = 500
        const val UNAVAILABLE = 503
        const val COLD_SLOWDOWN_FACTOR = 10.0
        const val WARM_UPTIME_MILLISECONDS = 3_600_000L
    }
}
