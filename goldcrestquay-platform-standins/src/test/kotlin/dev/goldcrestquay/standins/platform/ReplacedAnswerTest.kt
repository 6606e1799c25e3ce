package dev.goldcrestquay.standins.platform

import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Answers that a retry replaces before their end. */
class ReplacedAnswerTest {
    private val entryVm = LoopbackEntryVm()
    private var failures = 0
    private val failingSockets = mutableSetOf<NetSocket>()

    @AfterEach
    fun close() = entryVm.close()

    /** Answers each request with 500 and a body that is larger than what an entry VM reads before it decides on a retry. */
    private suspend fun startFailingTarget(): NetServer =
        entryVm.vertx
            .createNetServer()
            .connectHandler { socket ->
                socket.closeHandler { failingSockets -= socket }
                socket.exceptionHandler { }
                socket.handler { respond(socket, it.toString()) }
            }.listen(0, LoopbackEntryVm.HOST)
            .coAwait()

    private fun respond(
        socket: NetSocket,
        received: String,
    ) {
        if (received.startsWith("GET ${TargetStandIn.HEALTH_PATH} ")) {
            socket.write("HTTP/1.1 200 OK\r\nGoldcrestquay-Instance-Id: i-failing\r\nContent-Length: 0\r\n\r\n")
            return
        }
        failures++
        failingSockets += socket
        val id = received.lines().single { it.startsWith("Goldcrestquay-Request-Id:", ignoreCase = true) }
        socket.write("HTTP/1.1 500 Error\r\n$id\r\nGoldcrestquay-Server-Seal: s\r\nContent-Length: $BODY_BYTES\r\n\r\n")
        socket.write(Buffer.buffer(ByteArray(BODY_BYTES)))
    }

    /** Guards against connections that stay open for good with unread bytes, until the memory for responses counts as scarce. */
    @Test
    fun `the connection of a large answer that a retry replaces is closed`(): Unit =
        runBlocking {
            withTimeout(30.seconds) {
                val failing = startFailingTarget()
                val good = TargetStandIn(entryVm.vertx, "i-good").also { it.start() }
                val heartbeat =
                    """{"address":"${LoopbackEntryVm.HOST}:${failing.actualPort()}","info":{"service":"shop","version":"v1",""" +
                        """"zone":"north","slots":4},"status":{"state":"ready","seq":1,"warmup_left":"0ms"}}"""
                entryVm.start(mapOf("i-failing" to heartbeat, "i-good" to good.heartbeat("shop")))
                while (failures == 0) entryVm.call("/safe/x").statusCode() shouldBe 200
                withClue({ "connections with a replaced answer: ${failingSockets.size}" }) {
                    withTimeout(5.seconds) { while (failingSockets.isNotEmpty()) delay(20.milliseconds) }
                }
            }
        }

    private companion object {
        const val BODY_BYTES = 8_000_000
    }
}
