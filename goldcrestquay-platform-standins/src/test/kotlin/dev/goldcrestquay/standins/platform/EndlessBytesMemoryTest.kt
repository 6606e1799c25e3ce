package dev.goldcrestquay.standins.platform

import io.kotest.assertions.withClue
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.io.File
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What many faulty targets send at once; [start] is sent once and [repeated] until the entry VM closes the connection. */
enum class EndlessLoad(
    val start: String,
    val repeated: String,
) {
    BODIES("$HEAD\r\n\r\n", "x".repeat(1000)),
    SMALL_CHUNKS("$HEAD\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n".repeat(200)),
    SKIPPED_SMALL_CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n".repeat(200)),
    HEADS("$HEAD\r\n", "X-Pad: x\r\n"),
    SHORT_HEADERS("$HEAD\r\n", "a:\r\n".repeat(200)),
}

private const val HEAD = "HTTP/1.1 200 OK\r\nGoldcrestquay-Request-Id: only\r\nGoldcrestquay-Server-Seal: s"

/** Many targets that send without end at once, to callers that do not read: the entry VM's memory bears it, and others are served. */
class EndlessBytesMemoryTest {
    private val vertx = Vertx.vertx()
    private val store = StoreStandIn(vertx)
    private val servers = mutableListOf<ServerSocket>()
    private val requests = AtomicInteger()

    @TempDir
    lateinit var directory: File

    @AfterEach
    fun close() {
        servers.forEach { it.close() }
        vertx
            .close()
            .toCompletionStage()
            .toCompletableFuture()
            .join()
    }

    /** Blocking sockets, one thread each: what a process writes without end must not keep an event loop of the test busy. */
    private fun startTarget(
        number: Int,
        load: EndlessLoad,
    ) {
        val server = ServerSocket(0, BACKLOG, InetAddress.getByName(LoopbackEntryVm.HOST)).also { servers += it }
        startThread {
            while (true) {
                val socket = server.accept()
                startThread { respond(socket, number, load) }
            }
        }
        val heartbeat =
            """{"address":"${LoopbackEntryVm.HOST}:${server.localPort}","info":{"service":"shop","version":"v1",""" +
                """"zone":"north","slots":20},"status":{"state":"ready","seq":1,"warmup_left":"0ms"}}"""
        store.write("keyed.servers", "i-$number", heartbeat)
    }

    private fun respond(
        socket: Socket,
        number: Int,
        load: EndlessLoad,
    ) = socket.use {
        val reader = socket.getInputStream().bufferedReader()
        val output = socket.getOutputStream()
        while (true) {
            val isHealthCheck = (reader.readLine() ?: return).startsWith("GET ${TargetStandIn.HEALTH_PATH} ")
            while (!reader.readLine().isNullOrEmpty()) Unit
            if (isHealthCheck) {
                val head = "HTTP/1.1 200 OK\r\nGoldcrestquay-Instance-Id: i-$number\r\nGoldcrestquay-Server-Load: 0,0,20,100"
                output.write("$head\r\nContent-Length: 0\r\n\r\n".encodeToByteArray())
            } else {
                requests.incrementAndGet()
                output.write(load.start.encodeToByteArray())
                val repeated = load.repeated.encodeToByteArray()
                while (true) output.write(repeated)
            }
        }
    }

    /** Ends with the sockets that it uses. */
    private fun startThread(body: () -> Unit) =
        thread(isDaemon = true) {
            try {
                body()
            } catch (_: IOException) {
                // The other side closed the connection, as it should.
            }
        }

    private fun ask(
        entryVm: EntryVmProcess,
        path: String,
    ): Socket {
        val socket = Socket(entryVm.address.host, entryVm.address.firstPort)
        val head = "GET $path HTTP/1.1\r\nHost: shop.example\r\nGoldcrestquay-Request-Id: only\r\nGoldcrestquay-Deadline-Ms: 10000\r\n\r\n"
        socket.getOutputStream().write(head.encodeToByteArray())
        return socket
    }

    /** The program with the flags of the deployment, on a loopback address of its own since the metrics port is the same for all. */
    private fun startEntryVm(): EntryVmProcess {
        val firstPort = findFreePorts()
        val address = EntryVmAddress("127.74.${firstPort / ADDRESS_BASE}.${firstPort % ADDRESS_BASE}", firstPort)
        val settings = File(directory, "settings.json")
        settings.writeText(DeploymentDocuments.settings("entry", firstPort, store.port, host = address.host))
        val java = File(System.getProperty("java.home"), "bin/java").path
        val command = listOf(java, "@../deploy/entry.args", "-cp", System.getProperty("java.class.path"), EntryVmProgram.MAIN_CLASS)
        return EntryVmProcess(EntryVmProgram(command, File(".")), address, settings, File(directory, "log"))
    }

    /** Guards against an entry VM that runs out of memory and ends, with the requests of all its callers. */
    @ParameterizedTest
    @EnumSource
    fun `an entry VM bears many targets that send without end`(load: EndlessLoad): Unit =
        runBlocking {
            withTimeout(50.seconds) {
                store.start()
                store.write("keyed.op", "config", DeploymentDocuments.plan(version = 1, timeout = "10s"))
                repeat(TARGETS) { startTarget(it, load) }
                startEntryVm().use { entryVm ->
                    entryVm.awaitReady(WebClient.create(vertx))
                    val callers = List(CALLERS) { ask(entryVm, "/unsafe/x").also { delay(2.milliseconds) } }
                    repeat(OTHER_REQUESTS) {
                        withClue({ "after $requests requests: ${entryVm.log.readText().takeLast(2000)}" }) {
                            entryVm.isAlive shouldBe true
                            ask(entryVm, "/none/").use { other ->
                                other.soTimeout = 30_000
                                other.getInputStream().bufferedReader().readLine() shouldBe "HTTP/1.1 404 Not Found"
                            }
                        }
                        delay(200.milliseconds)
                    }
                    entryVm.log.readText() shouldNotContain "OutOfMemory"
                    entryVm.peakMemoryKibibytes shouldBeLessThan MEMORY_LIMIT_KIBIBYTES
                    callers.forEach { it.close() }
                }
            }
        }

    private companion object {
        const val TARGETS = 20
        const val CALLERS = 400
        const val BACKLOG = 100
        const val ADDRESS_BASE = 250
        const val OTHER_REQUESTS = 10

        /** The memory of a process on the platform: 430 MB. */
        const val MEMORY_LIMIT_KIBIBYTES = 430 * 1000 * 1000 / 1024
    }
}
