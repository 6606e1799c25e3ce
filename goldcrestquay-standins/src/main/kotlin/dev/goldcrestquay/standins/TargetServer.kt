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
 * How a stand-in target behaves; every part may change while it runs.
 *
 * @property slots the calls run at once.
 * @property queue the calls that may wait for a slot; more are shed.
 * @property meanMilliseconds the mean of the exponential service time.
 * @property slowdown what the service time is multiplied with, as by a noisy neighbour.
 * @property failureShare the share of calls answered with an error.
 * @property failingPath only calls whose path starts so can fail.
 * @property coldCalls the calls in flight it bears while cold; more make it slow.
 * @property coldUntilRun the calls it must run before it is warm.
 * @property draining whether it refuses new calls.
 * @property liesAboutLoad whether it reports no load whatever it holds.
 */
data class TargetBehaviour(
    val slots: Int = 4,
    val queue: Int = 64,
    val meanMilliseconds: Double = 10.0,
    val slowdown: Double = 1.0,
    val failureShare: Double = 0.0,
    val failingPath: String = "/",
    val coldCalls: Int = Int.MAX_VALUE,
    val coldUntilRun: Int = 0,
    val draining: Boolean = false,
    val liesAboutLoad: Boolean = false,
)

/**
 * One call that a target truly ran.
 *
 * @property call the caller's own name for the call, from the header `call-id`.
 */
data class RunRecord(
    val target: String,
    val call: String,
    val atMilliseconds: Long,
)

/** A target of a service, with slots and a queue, that records what it truly ran. */
class TargetServer(
    private val vertx: Vertx,
    private val name: String,
    private val version: String,
    @Volatile var behaviour: TargetBehaviour,
    private val random: Random,
    private val runs: ConcurrentLinkedQueue<RunRecord>,
) {
    private class Waiting(
        val request: HttpServerRequest,
        var cancelled: Boolean = false,
    )

    private val startedAt = System.currentTimeMillis()
    private val queue = ArrayDeque<Waiting>()
    private var running = 0
    private var ran = 0
    private lateinit var server: HttpServer

    /** The calls that arrived and were refused, run or queued. */
    val arrived = AtomicInteger()

    /** The most calls that were with this target at once. */
    @Volatile
    var mostHeld: Int = 0
        private set

    /** Starts listening on an event loop of its own and returns the port. */
    suspend fun start(
        host: String,
        port: Int,
    ): Int {
        server = vertx.createHttpServer().requestHandler(::accept)
        return server.listen(port, host).coAwait().actualPort()
    }

    /** Stops at once. */
    suspend fun stop() {
        server.close().coAwait()
    }

    private fun accept(request: HttpServerRequest) {
        if (request.path() == LOAD_PATH) return answer(request, OK, "")
        request.body().onSuccess { arrive(request) }
    }

    private fun arrive(request: HttpServerRequest) {
        arrived.incrementAndGet()
        when {
            behaviour.draining -> refuse(request, "draining")
            running >= behaviour.slots && queue.size >= behaviour.queue -> refuse(request, "shedding")
            else -> {
                val waiting = Waiting(request)
                request.response().closeHandler { waiting.cancelled = true }
                queue.addLast(waiting)
                mostHeld = maxOf(mostHeld, running + queue.size)
                startNext()
            }
        }
    }

    private fun startNext() {
        while (running < behaviour.slots && queue.isNotEmpty()) {
            val waiting = queue.removeFirst()
            if (waiting.cancelled) continue
            run(waiting.request)
        }
    }

    private fun run(request: HttpServerRequest) {
        running++
        ran++
        runs += RunRecord(name, request.getHeader("call-id").orEmpty(), System.currentTimeMillis())
        val failing = request.path().startsWith(behaviour.failingPath) && random.nextDouble() < behaviour.failureShare
        val milliseconds = if (failing) 0L else serviceMilliseconds()
        val end = {
            running--
            if (failing) answer(request, FAILED, "failed") else answer(request, OK, body(request))
            startNext()
        }
        if (milliseconds <= 0) vertx.runOnContext { end() } else vertx.setTimer(milliseconds) { end() }
    }

    private fun serviceMilliseconds(): Long {
        val cold = ran <= behaviour.coldUntilRun
        val overwhelmed = cold && running + queue.size > behaviour.coldCalls
        val factor = behaviour.slowdown * (if (overwhelmed) COLD_SLOWDOWN else 1.0)
        return (-ln(1.0 - random.nextDouble()) * behaviour.meanMilliseconds * factor).toLong()
    }

    private fun body(request: HttpServerRequest): String =
        """{"target":"$name","version":"$version","call":"${request.getHeader("call-id").orEmpty()}"}"""

    private fun refuse(
        request: HttpServerRequest,
        refusal: String,
    ) {
        request.response().putHeader(CallHeaders.NOT_RUN, refusal)
        answer(request, UNAVAILABLE, "")
    }

    private fun answer(
        request: HttpServerRequest,
        status: Int,
        body: String,
    ) {
        val response = request.response()
        if (response.closed() || response.ended()) return
        val held = if (behaviour.liesAboutLoad) 0 else running + queue.size
        val report = LoadReport(held, startedAt, System.currentTimeMillis() - startedAt + behaviour.uptimeOffset)
        response.putHeader(CallHeaders.LOAD_REPORT, TargetHeaders.formatLoadReport(report))
        response.setStatusCode(status).end(body)
    }

    /** A target without a cold phase says that it has been up for long. */
    private val TargetBehaviour.uptimeOffset: Long get() = if (coldUntilRun == 0) WARM_UPTIME_MILLISECONDS else 0

    private companion object {
        const val LOAD_PATH = "/load"
        const val OK = 200
        const val FAILED = 500
        const val UNAVAILABLE = 503
        const val COLD_SLOWDOWN = 10.0
        const val WARM_UPTIME_MILLISECONDS = 3_600_000L
    }
}
