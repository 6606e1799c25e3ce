package dev.goldcrestquay.standins

import dev.goldcrestquay.contract.Environment
import dev.goldcrestquay.contract.LogRecords
import dev.goldcrestquay.contract.changeBetween
import dev.goldcrestquay.contract.environment
import dev.goldcrestquay.daemon.DaemonSettings
import dev.goldcrestquay.daemon.EntryDaemon
import dev.goldcrestquay.http.CallHeaders
import dev.goldcrestquay.link.asClock
import io.opentelemetry.api.OpenTelemetry
import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The response to one call as its caller receives it.
 *
 * @property code the result code of the entry VM, or 0 for none.
 */
data class CallerResponse(
    val status: Int,
    val code: Int,
    val body: String,
) {
    companion object {
        /** The connection broke before the response was complete. */
        val CONNECTION_BROKEN = CallerResponse(0, 0, "")
    }
}

/** A platform stand-in, targets and one entry VM on the loopback interface, for contract tests. */
class EntryVmFixture : AutoCloseable {
    val vertx: Vertx = Vertx.vertx()
    val runs = ConcurrentLinkedQueue<RunRecord>()
    private val platform = PlatformServer(vertx, TimeSource.Monotonic.asClock())
    private val platformAddress = runBlocking { "$HOST:${platform.start(HOST, 0).actualPort()}" }
    private val client = vertx.createHttpClient()
    private val servers = mutableListOf<NetServer>()
    lateinit var daemon: EntryDaemon
        private set

    /** Starts a target that passes each connection to [handle], for replies that are not valid HTTP; returns its address. */
    fun rawTarget(handle: (NetSocket) -> Unit): String {
        val server =
            runBlocking {
                vertx
                    .createNetServer()
                    .connectHandler(handle)
                    .listen(0, HOST)
                    .coAwait()
            }
        servers += server
        return "$HOST:${server.actualPort()}"
    }

    /** Starts a [TargetServer] and returns its address. */
    fun target(behaviour: TargetBehaviour = TargetBehaviour(meanMilliseconds = 0.0)): String {
        val server = TargetServer(vertx, "t", "1", behaviour, Random(1), runs)
        return "$HOST:${runBlocking { server.start(HOST, 0) }}"
    }

    /** Publishes [document], starts the entry VM and waits until it is ready. */
    fun start(document: Environment) =
        runBlocking {
            platform.log(STREAM).append(LogRecords.write(changeBetween("first", 0, null, document)))
            val settings = DaemonSettings("entry-1", "a", HOST, 0, 0, 0, platformAddress, STREAM, eventLoops = 1)
            daemon = EntryDaemon(vertx, settings, OpenTelemetry.noop(), random = Random(1))
            daemon.start()
            withTimeout(20.seconds) { while (!daemon.entryVm.ready) yield() }
        }

    /** Sends one call to the entry VM and returns the response, or [CallerResponse.CONNECTION_BROKEN] if the connection failed. */
    fun call(
        path: String,
        method: HttpMethod = HttpMethod.GET,
        headers: Map<String, String> = emptyMap(),
        body: Buffer? = null,
    ): CallerResponse =
        runBlocking {
            val port = daemon.callerAddress.substringAfterLast(':').toInt()
            val options =
                RequestOptions()
                    .setHost(HOST)
                    .setPort(port)
                    .setURI(path)
                    .setMethod(method)
            headers.forEach { (name, value) -> options.addHeader(name, value) }
            try {
                withTimeout(20.seconds) {
                    client
                        .request(options)
                        .compose { if (body == null) it.send() else it.send(body) }
                        .compose(::readResponse)
                        .coAwait()
                }
            } catch (_: IOException) {
                CallerResponse.CONNECTION_BROKEN
            } catch (_: VertxException) {
                CallerResponse.CONNECTION_BROKEN
            }
        }

    private fun readResponse(response: HttpClientResponse): Future<CallerResponse> {
        val code = response.getHeader(CallHeaders.RESULT_CODE)?.toInt() ?: 0
        return response.body().map { CallerResponse(response.statusCode(), code, it.toString()) }
    }

    override fun close() =
        runBlocking {
            daemon.stop()
            servers.forEach { it.close().coAwait() }
            vertx.close().coAwait()
            Unit
        }

    companion object {
        const val HOST = "127.0.0.1"
        private const val STREAM = "test"

        /** Returns an environment with one service, `desk`, that has a target at each of [addresses]. */
        fun documentFor(
            vararg addresses: String,
            deadlineMilliseconds: Long = 5000,
        ): Environment =
            environment("test") {
                region("north") { dataCentre("a") }
                service("desk") {
                    this.deadlineMilliseconds = deadlineMilliseconds
                    maximumBodyBytes = 200_000
                    addresses.forEachIndexed { index, address -> target("t$index", address, "a") }
                }
            }
    }
}
