package dev.goldcrestquay.standins.platform

import io.kotest.matchers.shouldBe
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Requests that are sent to a second target while the first works on them, over sockets. */
class SecondSendContractTest {
    private val entryVm = LoopbackEntryVm()
    private var mayHang = false
    private val hungConnectionClosed = CompletableDeferred<Unit>()

    @AfterEach
    fun close() = entryVm.close()

    /** Starts a target and returns its heartbeat; of all targets, the first to get a request once [mayHang] never answers it in full. */
    private suspend fun startTarget(id: String): String {
        val server =
            entryVm.vertx
                .createNetServer()
                .connectHandler { socket -> socket.handler { respond(id, socket, it.toString()) } }
                .listen(0, LoopbackEntryVm.HOST)
                .coAwait()
        return """{"address":"${LoopbackEntryVm.HOST}:${server.actualPort()}","info":{"service":"shop","version":"v1",""" +
            """"zone":"north","slots":4},"status":{"state":"ready","seq":1,"warmup_left":"0ms"}}"""
    }

    private fun respond(
        target: String,
        socket: NetSocket,
        received: String,
    ) {
        if (received.startsWith("GET ${TargetStandIn.HEALTH_PATH} ")) {
            socket.write("HTTP/1.1 200 OK\r\nGoldcrestquay-Instance-Id: $target\r\nContent-Length: 0\r\n\r\n")
            return
        }
        val id = received.lines().single { it.startsWith("Goldcrestquay-Request-Id:", ignoreCase = true) }
        socket.write("HTTP/1.1 200 OK\r\n$id\r\nGoldcrestquay-Server-Seal: s\r\nContent-Length: 4\r\n\r\n")
        if (!mayHang) return socket.write("good").let { }
        mayHang = false
        socket.write("ba")
        socket.closeHandler { hungConnectionClosed.complete(Unit) }
    }

    @Test
    fun `the second answer is whole, and the first target's connection is closed long before the deadline`(): Unit =
        runBlocking {
            withTimeout(20.seconds) {
                entryVm.start(
                    listOf("i-1", "i-2").associateWith { startTarget(it) },
                    timeout = "90s",
                    objective = "20s",
                    guarantees = """["base"]""",
                )
                repeat(10) { entryVm.call("/safe/x", deadlineMilliseconds = 60_000).statusCode() shouldBe 200 }
                mayHang = true
                entryVm.call("/safe/x", deadlineMilliseconds = 60_000).bodyAsString() shouldBe "good"
                hungConnectionClosed.await()
                mayHang shouldBe false
            }
        }
}
