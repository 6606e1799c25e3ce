package dev.goldcrestquay.standins.platform

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** A target that stops within the head of its answer and closes the connection: callers must not get a success without its body. */
class PartialHeadTest {
    private val entryVm = LoopbackEntryVm()
    private var sentBytes = 0
    private var requests = 0

    private suspend fun startTarget(): NetServer =
        entryVm.vertx
            .createNetServer()
            .connectHandler { socket ->
                socket.exceptionHandler { }
                socket.handler { respond(socket, it.toString()) }
            }.listen(0, LoopbackEntryVm.HOST)
            .coAwait()

    private fun respond(
        socket: NetSocket,
        received: String,
    ) {
        if (received.startsWith("GET ${TargetStandIn.HEALTH_PATH} ")) {
            socket.write("HTTP/1.1 200 OK\r\nGoldcrestquay-Instance-Id: i-0\r\nContent-Length: 0\r\n\r\n")
            return
        }
        // The rest of a request that arrives in two parts; its beginning was counted and answered.
        if (!received.startsWith("POST ")) return
        requests++
        socket.end(Buffer.buffer(ANSWER.take(sentBytes)))
    }

    @AfterEach
    fun close() = entryVm.close()

    @Test
    fun `an answer that ends within its head is no success, wherever it ends`(): Unit =
        runBlocking {
            withTimeout(60.seconds) {
                val target = startTarget()
                val heartbeat =
                    """{"address":"${LoopbackEntryVm.HOST}:${target.actualPort()}","info":{"service":"shop","version":"v1",""" +
                        """"zone":"north","slots":4},"status":{"state":"ready","seq":1,"warmup_left":"0ms"}}"""
                entryVm.start(mapOf("i-0" to heartbeat))
                for (length in 0 until ANSWER.length) {
                    sentBytes = length
                    requests = 0
                    val status = entryVm.statusOf("/unsafe/$length", HttpMethod.POST, "order", ID, deadlineMilliseconds = 1000)
                    withClue("ends after ${ANSWER.take(length)}") {
                        status shouldBeIn if (length < ANSWER.length - BODY.length) listOf(502) else listOf(502, null)
                        requests shouldBe 1
                    }
                }
                sentBytes = ANSWER.length
                entryVm.statusOf("/unsafe/whole", HttpMethod.POST, "order", ID) shouldBe 200
            }
        }

    private companion object {
        const val ID = "only"
        const val BODY = "done"
        const val ANSWER =
            "HTTP/1.1 200 OK\r\nGoldcrestquay-Request-Id: $ID\r\nGoldcrestquay-Server-Seal: s\r\nContent-Length: 4\r\n\r\n$BODY"
    }
}
