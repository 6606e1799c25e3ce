package dev.goldcrestquay.http.edge

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.http.edge.ScriptedServer.Companion.send
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.machine.TargetPhase
import dev.goldcrestquay.routing.Dispatch
import dev.goldcrestquay.routing.TargetNotices
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Answers that do not bear the target's signature. */
class ForeignAnswerTest {
    private val server = ScriptedServer()
    private val protocol =
        TargetProtocol("Request-Id", "Deadline", "Signature", "Expected-Target", "Not-Run", "Target-Id", { null }, { null })

    @AfterEach
    fun close() = server.close()

    /** Guards against memory that counts as held for good, so that it counts as scarce after some hundred such answers. */
    @Test
    fun `the body of an unsigned answer is not held`() =
        server.test({ socket, _ -> socket.send("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + "x".repeat(500)) }) {
            val target =
                RegisteredTarget("t", "shop", server.address, "north", "v1", 4, TargetPhase.READY, Duration.ZERO, null, 1)
            val request = EdgeRequest("r", "GET", "/", emptyList(), ByteArray(0))
            val result =
                TargetExchange(
                    server.pool,
                    protocol,
                    TargetNotices({
                        Duration.ZERO
                    }),
                ).send(request, Dispatch(target, null, 5.seconds) { true })
            result shouldBe SendResult.Broken(ResultCode.FOREIGN_ANSWER)
            server.pool.memory.heldBytes shouldBe 0
        }
}
