package dev.goldcrestquay.standins.platform

import com.github.michaelbull.result.getOrElse
import dev.goldcrestquay.http.edge.GatewayReports
import dev.goldcrestquay.link.asClock
import dev.goldcrestquay.platform.PlatformNode
import dev.goldcrestquay.platform.PlatformSettings
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClosedException
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** An entry VM over loopback sockets, with a store of its own and a client. */
internal class LoopbackEntryVm {
    val vertx: Vertx = Vertx.vertx()
    val store = StoreStandIn(vertx)
    private val client = WebClient.create(vertx)
    private val requestCount = AtomicInteger()
    var firstPort = 0
        private set
    lateinit var node: PlatformNode
        private set

    /** Starts the entry VM with the targets whose heartbeats are given by identifier, and waits until it is ready. */
    suspend fun start(
        heartbeats: Map<String, String>,
        timeout: String = "2000ms",
        plan: String = DeploymentDocuments.plan(version = 1, timeout = timeout),
    ) {
        store.start()
        store.write("keyed.op", "config", plan)
        heartbeats.forEach { (id, heartbeat) -> store.write("keyed.servers", id, heartbeat) }
        firstPort = findFreePorts()
        val settings = PlatformSettings.read(DeploymentDocuments.settings("entry", firstPort, store.port)).getOrElse { error(it) }
        val context = vertx.orCreateContext
        node = PlatformNode(vertx, context, settings, TimeSource.Monotonic.asClock(), GatewayReports({ }, { }, { }), Random(1))
        withContext(context.dispatcher()) { node.start() }
        waitUntil { isReady() }
    }

    private suspend fun isReady(): Boolean =
        client
            .get(firstPort + READY_PORT_OFFSET, HOST, "/ready")
            .send()
            .coAwait()
            .statusCode() == 200

    /** The status of the response to one request, or null when the connection ends without a complete response. */
    suspend fun statusOf(
        path: String,
        method: HttpMethod = HttpMethod.GET,
        body: String = "",
        id: String = "r-${requestCount.incrementAndGet()}",
        deadlineMilliseconds: Long = 1500,
    ): Int? =
        try {
            call(path, method, body, id, deadlineMilliseconds).statusCode()
        } catch (_: HttpClosedException) {
            null
        } catch (_: IOException) {
            null
        }

    /** Sends one request; throws when the connection ends without a complete response. */
    suspend fun call(
        path: String,
        method: HttpMethod = HttpMethod.GET,
        body: String = "",
        id: String = "r-${requestCount.incrementAndGet()}",
        deadlineMilliseconds: Long = 1500,
        headers: List<Pair<String, String>> = emptyList(),
    ): HttpResponse<Buffer> =
        client
            .request(method, firstPort, HOST, path)
            .putHeader("Host", "shop.example")
            .putHeader("Goldcrestquay-Request-Id", id)
            .putHeader("Goldcrestquay-Deadline-Ms", deadlineMilliseconds.toString())
            .also { request -> headers.forEach { (name, value) -> request.headers().add(name, value) } }
            .sendBuffer(Buffer.buffer(body))
            .coAwait()

    suspend fun waitUntil(condition: suspend () -> Boolean) {
        while (!condition()) delay(POLL_INTERVAL)
    }

    fun close() {
        vertx
            .close()
            .toCompletionStage()
            .toCompletableFuture()
            .join()
    }

    companion object {
        const val HOST = "127.0.0.1"
        private val POLL_INTERVAL = 20.milliseconds
    }
}
