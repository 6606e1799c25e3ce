package dev.goldcrestquay.http.edge

import dev.goldcrestquay.http.edge.ScriptedServer.Companion.request
import dev.goldcrestquay.http.edge.ScriptedServer.Companion.send
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

/** Connections while the memory for responses is scarce. */
class ScarceMemoryTest {
    private val server = ScriptedServer()

    @AfterEach
    fun close() = server.close()

    /** Guards against answers that are cut off by the bound on what precedes a response. */
    @Test
    fun `a response that has begun is read to its end`() =
        server.test({ socket, _ -> socket.send(HEAD + "x".repeat(PART_BYTES)) }) {
            val connection = server.pool.open(server.address)
            // The first response makes the connection read more at once, so that the second head comes with much of its body.
            repeat(2) { number ->
                val reply = connection.send(request()) { true }
                if (number == 1) server.pool.memory.hold(SCARCE_BYTES)
                server.sockets.single().send("y".repeat(PART_BYTES))
                reply.readToEnd(2 * PART_BYTES).size shouldBe 2 * PART_BYTES
            }
        }

    @Test
    fun `a response whose head does not come ends its connection`() =
        server.test({ socket, _ -> socket.send("HTTP/1.1 200 OK\r\n" + "X-Pad: ${"x".repeat(1_000)}\r\n".repeat(50)) }) {
            server.pool.memory.hold(SCARCE_BYTES)
            shouldThrow<OriginException> { server.pool.open(server.address).send(request()) { true } }
        }

    private companion object {
        const val PART_BYTES = 200_000
        const val HEAD = "HTTP/1.1 200 OK\r\nContent-Length: ${2 * PART_BYTES}\r\n\r\n"
        const val SCARCE_BYTES = 30_000_000
    }
}
