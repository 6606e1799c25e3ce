package dev.goldcrestquay.http.edge

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.http.edge.ScriptedServer.Companion.send
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.machine.TargetPhase
import dev.goldcrestquay.routing.Dispatch
import dev.goldcrestquay.routing.TargetNotices
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Bytes whose status no answer can have are no answer, whatever their headers say. */
class InvalidStatusTest {
    private val server = ScriptedServer()
    private val protocol =
        TargetProtocol("Request-Id", "Deadline", "Signature", "Expected-Target", "Not-Run", "Target-Id", { null }, { null })

    @AfterEach
    fun close() = server.close()

    private fun sendTo(
        answer: String,
        check: (SendResult<EdgeReply>) -> Unit,
    ) = server.test({ socket, _ -> socket.send(answer) }) {
        val target = RegisteredTarget("t", "shop", server.address, "north", "v1", 4, TargetPhase.READY, Duration.ZERO, null, 1)
        val exchange = TargetExchange(server.pool, protocol, TargetNotices({ Duration.ZERO }))
        val request = EdgeRequest("r", "GET", "/", emptyList(), ByteArray(0))
        check(exchange.send(request, Dispatch(target, null, 5.seconds) { true }))
    }

    private fun answer(
        status: String,
        header: String,
    ) = "HTTP/1.1 $status Trouble\r\nRequest-Id: r\r\nSignature: s\r\n${header}Content-Length: 4\r\n\r\nbody"

    @ParameterizedTest
    @ValueSource(strings = ["000", "001", "020", "099", "600", "999", "-200", "+200", "0200", "2000", "20", "2", "20x"])
    fun `an answer with an invalid status is none`(status: String) {
        // A refusal proves that the request did not run; what has no valid status proves nothing.
        listOf("", "Not-Run: 1\r\n").forEach { header ->
            sendTo(answer(status, header)) {
                withClue(header) { it shouldBe SendResult.Broken(ResultCode.CONNECTION_LOST) }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = ["200", "299", "404", "500", "599"])
    fun `an answer with any other status is passed on`(status: String) =
        sendTo(answer(status, "")) { it.shouldBeInstanceOf<SendResult.Replied<EdgeReply>>().reply.status shouldBe status.toInt() }
}
