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

/** What a caller saw of one call. */
data class Seen(
    val status: Int,
    val code: Int,
    val body: String,
) {
    companion object {
        /** The connection broke before the answer was whole. */
        val BROKEN = Seen(0, 0, "")
    }
}

/** A platform, raw targets and one entry VM on loopback, for contract tests. */
class PathFixture : AutoCloseable {
    val vertx: Vertx = Vertx.vertx()
    val runs = ConcurrentLinkedQueue<RunRecord>()
    private val platform = PlatformServer(vertx, TimeSource.Monotonic.asClock())
    private val platformAddress = runBlocking { "$HOST:${platform.start(HOST, 0).actualPort()}" }
    private val client = vertx.createHttpClient()
    private val servers = mutableListOf<NetServer>()
    lateinit var daemon: EntryDaemon
        private set

    /** Starts a target that handles raw sockets and returns its address. */
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

    /** Starts a target with slots and returns it with its address. */
    fun target(behaviour: TargetBehaviour = TargetBehaviour(meanMilliseconds = 0.0)): String {
        val server = TargetServer(vertx, "t", "1", behaviour, Random(1), runs)
        return "$HOST:${runBlocking { server.start(HOST, 0) }}"
    }

    /** Puts [document] in force at a new entry VM. */
    fun start(document: Environment) =
        runBlocking {
            platform.stream(STREAM).append(LogRecords.write(changeBetween("first", 0, null, document)))
            val settings = DaemonSettings("entry-1", "a", HOST, 0, 0, 0, platformAddress, STREAM, eventLoops = 1)
            daemon = EntryDaemon(vertx, settings, OpenTelemetry.noop(), random = Random(1))
            daemon.start()
            withTimeout(20.seconds) { while (!daemon.entryVm.ready) yield() }
        }

    /** Makes one call and returns what its caller sees. */
    fun call(
        path: String,
        method: HttpMethod = HttpMethod.GET,
        headers: Map<String, String> = emptyMap(),
        body: Buffer? = null,
    ): Seen =
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
                        .compose(::seen)
                        .coAwait()
                }
            } catch (_: IOException) {
                Seen.BROKEN
            } catch (_: VertxException) {
                Seen.BROKEN
            }
        }

    private fun seen(response: HttpClientResponse): Future<Seen> {
        val code = response.getHeader(CallHeaders.RESULT_CODE)?.toInt() ?: 0
        return response.body().map { Seen(response.statusCode(), code, it.toString()) }
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

        /** A document with one service that runs on [addresses]. */
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
