package dev.goldcrestquay.standins.platform

import io.kotest.assertions.withClue
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.io.File
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

/** Many clients that nobody controls at once: the entry VM's memory and descriptors bear them, and ordinary callers are served. */
class ClientCrowdTest {
    private val vertx = Vertx.vertx()
    private val store = StoreStandIn(vertx)
    private val target = TargetStandIn(vertx, "i-0", slots = 100)

    @TempDir
    lateinit var directory: File

    @AfterEach
    fun close() {
        vertx
            .close()
            .toCompletionStage()
            .toCompletableFuture()
            .join()
    }

    /** The program with the flags of the deployment and [moreFlags], on a loopback address of its own as the metrics port is fixed. */
    private fun startEntryVm(
        maximumDescriptors: Int,
        vararg moreFlags: String,
    ): EntryVmProcess {
        val firstPort = findFreePorts()
        val address = EntryVmAddress("127.75.${firstPort / ADDRESS_BASE}.${firstPort % ADDRESS_BASE}", firstPort)
        val machine = """{"memory_mb":330,"max_fds":$maximumDescriptors}"""
        val settings = File(directory, "settings.json")
        settings.writeText(DeploymentDocuments.settings("entry", firstPort, store.port, host = address.host, machine = machine))
        val java = File(System.getProperty("java.home"), "bin/java").path
        val classPath = System.getProperty("java.class.path")
        val command = listOf(java, "@../deploy/entry.args") + moreFlags + listOf("-cp", classPath, EntryVmProgram.MAIN_CLASS)
        return EntryVmProcess(EntryVmProgram(command, File(".")), address, settings, File(directory, "log"))
    }

    private fun withEntryVm(
        maximumDescriptors: Int,
        vararg moreFlags: String,
        test: suspend (EntryVmProcess) -> Unit,
    ): Unit =
        runBlocking {
            withTimeout(TEST_TIMEOUT) {
                store.start()
                target.start()
                store.write("keyed.op", "config", DeploymentDocuments.plan(version = 1, timeout = "20s"))
                store.write("keyed.servers", target.id, target.heartbeat("shop"))
                startEntryVm(maximumDescriptors, *moreFlags).use { entryVm ->
                    entryVm.awaitReady(WebClient.create(vertx))
                    withClue({ entryVm.log.readText().takeLast(SHOWN_LOG_CHARACTERS) }) { test(entryVm) }
                    entryVm.log.readText() shouldNotContain "OutOfMemory"
                }
            }
        }

    /** The status line of the response to an ordinary request with a body of [bytes]. */
    private suspend fun ask(
        entryVm: EntryVmProcess,
        bytes: Int,
    ): String? =
        withContext(Dispatchers.IO) {
            Socket(entryVm.address.host, entryVm.address.firstPort).use { socket ->
                socket.soTimeout = TEST_TIMEOUT.inWholeMilliseconds.toInt()
                val head =
                    "POST /upload/ordinary HTTP/1.1\r\nHost: shop.example\r\nGoldcrestquay-Request-Id: ordinary-$bytes\r\n" +
                        "Goldcrestquay-Deadline-Ms: 20000\r\nContent-Length: $bytes\r\n\r\n"
                socket.getOutputStream().write(head.encodeToByteArray())
                socket.getOutputStream().write(ByteArray(bytes) { 'x'.code.toByte() })
                socket.getInputStream().bufferedReader().readLine()
            }
        }

    /** Guards against clients that end an entry VM, with the requests of all its other callers. */
    @ParameterizedTest
    @EnumSource
    internal fun `an entry VM bears many clients that nobody controls`(load: ClientLoad) =
        withEntryVm(MAXIMUM_DESCRIPTORS, "-Xmx${HEAP_MEBIBYTES}m") { entryVm ->
            ClientCrowd(load, entryVm.address).use { crowd ->
                crowd.start()
                crowd.awaitQuiet()
                entryVm.shouldServe()
                crowd.end()
                entryVm.shouldServe()
                entryVm.peakMemoryKibibytes shouldBeLessThan MEMORY_KIBIBYTES - (FULL_HEAP_MEBIBYTES - HEAP_MEBIBYTES) * 1024
            }
        }

    private suspend fun EntryVmProcess.shouldServe() {
        isAlive shouldBe true
        openDescriptors.count { it.startsWith("socket:") } shouldBeLessThan MAXIMUM_DESCRIPTORS - FILE_DESCRIPTORS
        openDescriptors.size shouldBeLessThan MAXIMUM_DESCRIPTORS
        ask(this, bytes = 0) shouldBe "HTTP/1.1 200 OK"
        ask(this, bytes = 1000) shouldBe "HTTP/1.1 200 OK"
        isAlive shouldBe true
    }

    /** Guards against limits for crowds that turn away one caller alone. */
    @Test
    fun `one body of the plan's largest size is served in calm`() =
        withEntryVm(maximumDescriptors = 4100) { entryVm ->
            ask(entryVm, bytes = 67_108_864) shouldBe "HTTP/1.1 200 OK"
            target.executed
                .single { it.uri == "/upload/ordinary" }
                .body.length shouldBe 67_108_864
            entryVm.peakMemoryKibibytes shouldBeLessThan MEMORY_KIBIBYTES
        }

    private companion object {
        /** Only ends a test that hangs: the crowd with the smallest chunks takes a third of a minute on a free machine. */
        val TEST_TIMEOUT = 110.seconds
        const val ADDRESS_BASE = 250
        const val SHOWN_LOG_CHARACTERS = 2_000

        /** The memory of a small machine of the platform: 330 MB. */
        const val MEMORY_KIBIBYTES = 330 * 1000 * 1000 / 1024

        /** The heap in the deployment's flags, and the smaller one of these tests, so that a small crowd fills it. */
        const val FULL_HEAP_MEBIBYTES = 112
        const val HEAP_MEBIBYTES = 64

        /** Lowered so that a small crowd reaches it; the platform keeps [FILE_DESCRIPTORS] of them for files. */
        const val MAXIMUM_DESCRIPTORS = 600
        const val FILE_DESCRIPTORS = 200
    }
}
