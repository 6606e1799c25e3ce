package dev.goldcrestquay.standins.platform

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a faulty target sends without end; [start] is sent once and [repeated] until the entry VM closes the connection. */
enum class EndlessResponse(
    val start: String,
    val repeated: String,
    val isHealthCheck: Boolean = false,
) {
    STATUS_LINE("HTTP/1.1 200 ", "x".repeat(1000)),
    HEADERS("HTTP/1.1 200 OK\r\n", "X-Pad: ${"x".repeat(100)}\r\n"),
    INFORMATIONAL("", "HTTP/1.1 102 Processing\r\n\r\n"),
    OTHER_RESPONSES("", "HTTP/1.1 200 OK\r\nGoldcrestquay-Request-Id: other\r\nContent-Length: 4\r\n\r\nbody"),
    SKIPPED_BODY("HTTP/1.1 200 OK\r\nGoldcrestquay-Request-Id: other\r\n\r\n", "x".repeat(1000)),
    CHUNK_SIZE("$SIGNED_HEAD\r\nTransfer-Encoding: chunked\r\n\r\n", "0".repeat(1000)),
    CHUNK_EXTENSION("$SIGNED_HEAD\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", "x".repeat(1000)),
    TRAILERS("$SIGNED_HEAD\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: ${"x".repeat(100)}\r\n"),
    BODY("$SIGNED_HEAD\r\n\r\n", "x".repeat(1000)),
    CHUNKED_BODY("$SIGNED_HEAD\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n${"x".repeat(1000)}\r\n"),
    REFUSAL_BODY("HTTP/1.1 503 Busy\r\nGoldcrestquay-Not-Executed: 1\r\n\r\n", "x".repeat(1000)),
    HEALTH_BODY("HTTP/1.1 200 OK\r\nGoldcrestquay-Instance-Id: i-faulty\r\n\r\n", "x".repeat(1000), isHealthCheck = true),
    HEALTH_HEADERS("HTTP/1.1 200 OK\r\n", "X-Pad: ${"x".repeat(100)}\r\n", isHealthCheck = true),
}

private const val REQUEST_ID = "only"

private const val SIGNED_HEAD = "HTTP/1.1 200 OK\r\nGoldcrestquay-Request-Id: $REQUEST_ID\r\nGoldcrestquay-Server-Seal: s"

/** A target that sends bytes without end must not fill the entry VM's memory, hold its callers or make it send a request twice. */
class EndlessBytesTest {
    private val entryVm = LoopbackEntryVm()
    private var sentBytes = 0L
    private var openSockets = 0
    private var requests = 0

    private fun write(
        socket: NetSocket,
        text: String,
    ) {
        sentBytes += text.length
        socket.write(Buffer.buffer(text))
    }

    private fun writeWithoutEnd(
        socket: NetSocket,
        text: String,
    ) {
        while (!socket.writeQueueFull()) write(socket, text)
        socket.drainHandler { writeWithoutEnd(socket, text) }
    }

    private suspend fun startTarget(response: EndlessResponse): NetServer =
        entryVm.vertx
            .createNetServer()
            .connectHandler { socket ->
                openSockets++
                socket.closeHandler {
                    openSockets--
                    socket.drainHandler(null)
                }
                socket.exceptionHandler { }
                socket.handler { received -> respond(socket, received.toString(), response) }
            }.listen(0, LoopbackEntryVm.HOST)
            .coAwait()

    private fun respond(
        socket: NetSocket,
        received: String,
        response: EndlessResponse,
    ) {
        val isHealthCheck = received.startsWith("GET ${TargetStandIn.HEALTH_PATH} ")
        if (!isHealthCheck) requests++
        if (isHealthCheck == response.isHealthCheck) {
            write(socket, response.start)
            writeWithoutEnd(socket, response.repeated)
        } else if (isHealthCheck) {
            write(socket, "HTTP/1.1 200 OK\r\nGoldcrestquay-Instance-Id: i-faulty\r\nContent-Length: 0\r\n\r\n")
        } else {
            write(socket, "$SIGNED_HEAD\r\nContent-Length: 2\r\n\r\nok")
        }
    }

    @AfterEach
    fun close() = entryVm.close()

    @ParameterizedTest
    @EnumSource
    fun `a target that sends without end is cut off, and callers are answered in time`(response: EndlessResponse): Unit =
        runBlocking {
            withTimeout(30.seconds) {
                val target = startTarget(response)
                val heartbeat =
                    """{"address":"${LoopbackEntryVm.HOST}:${target.actualPort()}","info":{"service":"shop","version":"v1",""" +
                        """"zone":"north","slots":4},"status":{"state":"ready","seq":1,"warmup_left":"0ms"}}"""
                entryVm.start(mapOf("i-faulty" to heartbeat))
                val status = entryVm.statusOf("/unsafe/x", HttpMethod.POST, "order", REQUEST_ID, deadlineMilliseconds = 1000)
                val expected =
                    when (response) {
                        EndlessResponse.REFUSAL_BODY -> listOf(503)
                        EndlessResponse.HEALTH_BODY, EndlessResponse.HEALTH_HEADERS -> listOf(200)
                        // The response has begun when its fault shows, so only the reset connection can tell.
                        EndlessResponse.BODY, EndlessResponse.CHUNKED_BODY -> listOf(null)
                        else -> listOf(502, 504)
                    }
                status shouldBeIn expected
                requests shouldBe 1
                if (expected != listOf(null)) sentBytes shouldBeLessThan MAXIMUM_ACCEPTED_BYTES
                // Connections with a pending fault are closed; one idle connection of the pool may remain.
                while (openSockets > 1) delay(20.milliseconds)
                withClue("the entry VM goes on serving") { entryVm.call("/none/").statusCode() shouldBe 404 }
            }
        }

    private companion object {
        /** What the sockets' buffers and the limits of the entry VM may hold on a few connections. */
        const val MAXIMUM_ACCEPTED_BYTES = 33_554_432L
    }
}
