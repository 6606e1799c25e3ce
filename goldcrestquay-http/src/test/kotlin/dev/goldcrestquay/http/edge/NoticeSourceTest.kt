package dev.goldcrestquay.http.edge

import dev.goldcrestquay.http.edge.ScriptedServer.Companion.send
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.FleetMember
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.machine.TargetPhase
import dev.goldcrestquay.routing.Dispatch
import dev.goldcrestquay.routing.ForwardOutcome
import dev.goldcrestquay.routing.RelayTerms
import dev.goldcrestquay.routing.TargetNotice
import dev.goldcrestquay.routing.TargetNotices
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The responses to one request that say that a target leaves, and whether it is certain that the target of the request says so. */
enum class NoticeSource(
    val response: String,
    val counts: Boolean,
) {
    SIGNED("HTTP/1.1 200 OK\r\nRequest-Id: r\r\nSignature: s\r\n$LEAVING", true),
    FAILURE("HTTP/1.1 500 Error\r\nRequest-Id: r\r\nSignature: s\r\n$LEAVING", true),
    REFUSAL("HTTP/1.1 503 Busy\r\nRequest-Id: r\r\nNot-Run: 1\r\n$LEAVING", true),
    REFUSAL_WITHOUT_REQUEST("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n$LEAVING", true),
    REFUSAL_OF_ITS_OWN("HTTP/1.1 421 Misdirected\r\nTarget-Id: t\r\n$LEAVING", true),
    REFUSAL_OF_ANOTHER("HTTP/1.1 421 Misdirected\r\nTarget-Id: other\r\n$LEAVING", false),
    SIGNED_BY_ANOTHER("HTTP/1.1 200 OK\r\nTarget-Id: other\r\nRequest-Id: r\r\nSignature: s\r\n$LEAVING", false),
    UNSIGNED("HTTP/1.1 200 OK\r\nRequest-Id: r\r\n$LEAVING", false),
    SKIPPED("HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nSignature: s\r\n$LEAVING$ANSWER", false),
    SKIPPED_OF_ITS_OWN("HTTP/1.1 200 OK\r\nTarget-Id: t\r\nRequest-Id: earlier\r\nSignature: s\r\n$LEAVING$ANSWER", true),
    SKIPPED_OF_ANOTHER("HTTP/1.1 200 OK\r\nTarget-Id: other\r\nRequest-Id: earlier\r\nSignature: s\r\n$LEAVING$ANSWER", false),
}

private const val LEAVING = "Leaving: 1\r\nContent-Length: 0\r\n\r\n"
private const val ANSWER = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"

/** Whose word counts: a target speaks for itself alone. */
class NoticeSourceTest {
    private val server = ScriptedServer()
    private val notices = TargetNotices({ Duration.ZERO })
    private val protocol =
        TargetProtocol(
            requestId = "Request-Id",
            deadline = "Deadline",
            responseSeal = "Signature",
            expectedTarget = "Expected-Target",
            notRun = "Not-Run",
            targetId = "Target-Id",
            readRequestLimit = { null },
            readLoad = { null },
            readNotice = { _, headers -> TargetNotice(isLeaving = headers("Leaving").isNotEmpty()) },
        )
    private val request = EdgeRequest("r", "GET", "/", emptyList(), ByteArray(0))

    @AfterEach
    fun close() = server.close()

    @ParameterizedTest
    @EnumSource
    fun `only what a target certainly says of itself counts`(source: NoticeSource) =
        server.test({ socket, _ -> socket.send(source.response) }) {
            val target = RegisteredTarget("t", "shop", server.address, "north", "v1", 4, TargetPhase.READY, Duration.ZERO, null, 1)
            TargetExchange(server.pool, protocol, notices).send(request, Dispatch(target, null, 5.seconds) { true })
            notices.isLeaving("t") shouldBe source.counts
            withClue("other targets") { notices.isLeaving("other") shouldBe false }
        }

    @Test
    fun `a peer says which target leaves`() =
        server.test({ socket, _ ->
            socket.send("HTTP/1.1 200 OK\r\ngoldcrestquay-relay: answered\r\ngoldcrestquay-relay-leaving: t\r\nContent-Length: 0\r\n\r\n")
        }) {
            val peer = FleetMember("vm-2", 1, "north", server.address, server.address, true)
            val outcome = PeerRelay(server.pool, notices).relay(request, peer, RelayTerms("vm-1", Duration.ZERO, 1))
            val answered = outcome.shouldBeInstanceOf<ForwardOutcome.Answered<EdgeReply>>()
            notices.isLeaving("t") shouldBe true
            withClue("headers to the caller") { answered.reply.headers shouldBe emptyList() }
        }

    @Test
    fun `a target can't name another one as a peer does`() =
        server.test({ socket, _ ->
            socket.send(
                "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nSignature: s\r\ngoldcrestquay-relay-leaving: other\r\nContent-Length: 0\r\n\r\n",
            )
        }) {
            val target = RegisteredTarget("t", "shop", server.address, "north", "v1", 4, TargetPhase.READY, Duration.ZERO, null, 1)
            val result = TargetExchange(server.pool, protocol, notices).send(request, Dispatch(target, null, 5.seconds) { true })
            val reply = result.shouldBeInstanceOf<SendResult.Replied<EdgeReply>>().reply
            reply.headers.none { it.first == "goldcrestquay-relay-leaving" } shouldBe true
            notices.size shouldBe 0
        }
}
