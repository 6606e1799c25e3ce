package dev.goldcrestquay.standins.platform

import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.util.internal.PlatformDependent
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.io.IOException
import java.lang.management.BufferPoolMXBean
import java.lang.management.ManagementFactory
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What callers inside the limits get from an entry VM that watches their connections, and where the limits are. */
class CallerGateTest {
    private val entryVm = LoopbackEntryVm()
    private val target = TargetStandIn(entryVm.vertx, "i-0")

    @AfterEach
    fun close() = entryVm.close()

    private fun withEntryVm(test: suspend () -> Unit): Unit =
        runBlocking {
            withTimeout(TEST_TIMEOUT) {
                target.start()
                entryVm.start(mapOf(target.id to target.heartbeat("shop")))
                test()
            }
        }

    /** The status lines of all responses to [text], sent over one connection, until the entry VM closes it. */
    private suspend fun statusLines(
        text: String,
        port: Int = entryVm.firstPort,
    ): List<String> =
        withContext(Dispatchers.IO) {
            Socket(LoopbackEntryVm.HOST, port).use { socket ->
                socket.soTimeout = TEST_TIMEOUT.inWholeMilliseconds.toInt()
                socket.getOutputStream().write(text.encodeToByteArray())
                try {
                    STATUS_LINE.findAll(socket.getInputStream().bufferedReader().readText()).map { it.value }.toList()
                } catch (_: IOException) {
                    // A connection that closes before all was read is reset.
                    emptyList()
                }
            }
        }

    private fun request(
        id: String,
        headers: String = "",
        body: String = "",
    ) = "POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\nGoldcrestquay-Request-Id: $id\r\n$headers\r\n$body"

    @Test
    fun `pipelined requests with bodies are answered one after the other, each with its own body`() =
        withEntryVm {
            val first = request("a", "Content-Length: 3\r\n", "one")
            val second = request("b", "Transfer-Encoding: chunked\r\n", "3\r\ntwo\r\n0\r\n\r\n")
            statusLines(first + second + request("c", CLOSE)) shouldContainExactly List(3) { "HTTP/1.1 200 OK" }
            target.executed.map { it.id to it.body } shouldContainExactly listOf("a" to "one", "b" to "two", "c" to "")
        }

    @Test
    fun `small and large chunks reach the target as one body`() =
        withEntryVm {
            val small = (0 until 5_000).joinToString("") { "1\r\n${'a' + it % 26}\r\n" }
            val large = "${"b".repeat(20_000).length.toString(16)}\r\n${"b".repeat(20_000)}\r\n"
            val body = "$small$large${small}0\r\n\r\n"
            statusLines(request("a", "Transfer-Encoding: chunked\r\n$CLOSE", body)) shouldContainExactly listOf("HTTP/1.1 200 OK")
            val letters = (0 until 5_000).map { 'a' + it % 26 }.joinToString("")
            (target.executed.single().body == letters + "b".repeat(20_000) + letters) shouldBe true
        }

    @Test
    fun `empty lines before a request are borne up to their limit, also for the directory`() =
        withEntryVm {
            statusLines("\r\n".repeat(512) + request("a", CLOSE)) shouldContainExactly listOf("HTTP/1.1 200 OK")
            statusLines("\r\n".repeat(513) + request("b", CLOSE)) shouldContainExactly emptyList()
            val directoryPort = entryVm.firstPort + DIRECTORY_PORT_OFFSET
            statusLines("\r\n".repeat(513) + "GET / HTTP/1.1\r\nHost: x\r\n$CLOSE\r\n", directoryPort) shouldContainExactly emptyList()
            target.executed.map { it.id } shouldNotContain "b"
        }

    /** Over HTTP/2 it got 404, since the host is named elsewhere there. */
    @Test
    fun `a caller that offers an upgrade to HTTP2 is served over HTTP1`() =
        withEntryVm {
            val upgrade = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n"
            statusLines(request("a", upgrade) + request("b", CLOSE)).first() shouldBe "HTTP/1.1 200 OK"
            target.executed.first().id shouldBe "a"
        }

    @Test
    fun `a body that waits for 100, trailers, and a request in the same packet as a body's end are served on one connection`() =
        withEntryVm {
            val waiting = request("a", "Expect: 100-continue\r\nContent-Length: 3\r\n", "one")
            val trailers = request("b", "Transfer-Encoding: chunked\r\nTrailer: X\r\n", "3\r\ntwo\r\n0\r\nX: ${"y".repeat(5_000)}\r\n\r\n")
            val head = "HEAD /safe/x HTTP/1.1\r\nHost: shop.example\r\nGoldcrestquay-Request-Id: c\r\n\r\n"
            val large = "z".repeat(70_001)
            val lines = statusLines(waiting + trailers + request("d", "Content-Length: 70001\r\n", large) + head + request("e", CLOSE))
            lines shouldContainExactly listOf("HTTP/1.1 100 Continue") + List(5) { "HTTP/1.1 200 OK" }
            target.executed.map { it.id to it.body.length } shouldContainExactly
                listOf("a" to 3, "b" to 3, "d" to 70_001, "c" to 0, "e" to 0)
        }

    /** A caller that did not read its response held its body, which never gave way, for the time of the response. */
    @Test
    fun `a body is released when its request has been answered, not when the response has been taken`() =
        withEntryVm {
            target.responseBody = { "x".repeat(4 * MEBIBYTE) }
            val before = bytesOutsideHeap()
            withContext(Dispatchers.IO) {
                Socket(LoopbackEntryVm.HOST, entryVm.firstPort).use { socket ->
                    socket.receiveBufferSize = 4_096
                    val length = 32 * MEBIBYTE
                    socket.getOutputStream().write(request("a", "Content-Length: $length\r\n").encodeToByteArray() + ByteArray(length))
                    socket.getInputStream().read() shouldBe 'H'.code
                    delay(200.milliseconds)
                    bytesOutsideHeap() - before shouldBeLessThan 24L * MEBIBYTE
                }
            }
        }

    /** Each held the whole buffer that it was read with, which the limits count nowhere. */
    @Test
    fun `requests of a few bytes that stop hold little memory outside the heap`() =
        withEntryVm {
            val before = bytesOutsideHeap()
            val sockets = List(STALLED_CONNECTIONS) { Socket(LoopbackEntryVm.HOST, entryVm.firstPort) }
            try {
                sockets.forEach { it.getOutputStream().write("POST /unsafe/x HT".encodeToByteArray()) }
                delay(500.milliseconds)
                statusLines(request("a", CLOSE)) shouldContainExactly listOf("HTTP/1.1 200 OK")
                bytesOutsideHeap() - before shouldBeLessThan STALLED_CONNECTIONS * 4_096L
            } finally {
                sockets.forEach { it.close() }
            }
        }

    private fun bytesOutsideHeap(): Long =
        maxOf(PlatformDependent.usedDirectMemory(), 0) +
            ManagementFactory.getPlatformMXBeans(BufferPoolMXBean::class.java).single { it.name == "direct" }.memoryUsed

    private companion object {
        val TEST_TIMEOUT = 20.seconds
        val STATUS_LINE = Regex("HTTP/1\\.1 \\d{3} [A-Za-z ]+")
        const val MEBIBYTE = 1_048_576
        const val STALLED_CONNECTIONS = 2_000
        const val CLOSE = "Connection: close\r\n"
    }
}
