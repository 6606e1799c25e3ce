package dev.goldcrestquay.http.edge

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.http.edge.ScriptedServer.Companion.send
import dev.goldcrestquay.machine.FleetMember
import dev.goldcrestquay.organisation.RelayedCaller
import dev.goldcrestquay.routing.ForwardOutcome
import dev.goldcrestquay.routing.RelayTerms
import dev.goldcrestquay.routing.TargetNotices
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The values of the relay header that an earlier release wrote: the terms, an answer, and a refusal by the peer. */
class EarlierRelayTest {
    private val server = ScriptedServer()
    private val request = EdgeRequest("r", "GET", "/", emptyList(), ByteArray(0))
    private val rejections = mutableListOf<FleetMember>()

    @AfterEach
    fun close() = server.close()

    /** Releases before the relay serve nothing but the exchange at their peers' address. */
    @Test
    fun `a peer of a release before the relay has not run a request, so that another peer may`() =
        server.test({ socket, _ -> socket.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") }) {
            val peer = FleetMember("vm-2", 1, "north", server.address, server.address, true)
            val relay = PeerRelay(server.pool, TargetNotices({ Duration.ZERO }), rejections::add)
            val outcome = withTimeoutOrNull(2.seconds) { relay.relay(request, peer, RelayTerms("vm-1", Duration.ZERO, 1)) }
            outcome.shouldBeInstanceOf<ForwardOutcome.NotRun>().code shouldBe ResultCode.NOT_READY
            rejections shouldBe listOf(peer)
        }

    /** A release that relays can reject one request so too, and goes on serving the others. */
    @Test
    fun `a peer that rejects one request as too large is asked for others`() =
        server.test({ socket, _ -> socket.send("HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\n\r\n") }) {
            val peer = FleetMember("vm-2", 1, "north", server.address, server.address, true)
            val relay = PeerRelay(server.pool, TargetNotices({ Duration.ZERO }), rejections::add)
            val outcome = relay.relay(request, peer, RelayTerms("vm-1", Duration.ZERO, 1))
            outcome.shouldBeInstanceOf<ForwardOutcome.NotRun>()
            rejections shouldBe emptyList()
        }

    /** Terms of five parts are none that an earlier release reads, so that it rejects the request instead of running it for nobody. */
    @Test
    fun `the key and what the caller says of its organisation stay here, and the terms name it`() {
        val received = mutableListOf<String>()
        server.test({ socket, text ->
            received += text.lowercase()
            socket.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        }) {
            val peer = FleetMember("vm-2", 1, "north", server.address, server.address, true)
            val relay = PeerRelay(server.pool, TargetNotices({ Duration.ZERO }), organisationHeader = "Organisation")
            val headers = listOf("authorization" to "Bearer secret", "organisation" to "b", "organisation" to "c", "other" to "d")
            val keyed = EdgeRequest("r", "GET", "/", headers, ByteArray(0))
            val terms = RelayTerms("vm-1", Duration.ZERO, 1, RelayedCaller(7, "a b \u00e9"))
            listOf(terms, terms.copy(caller = RelayedCaller(7, null)), terms.copy(caller = null)).forEach {
                relay.relay(keyed, peer, it)
                PeerRelay.parse(PeerRelay.format(it)) shouldBe it
            }
            PeerRelay.format(terms).split(' ').size shouldBe 5
        }
        received.map { "secret" in it || "\norganisation:" in it } shouldBe listOf(false, false, true)
        received.all { "\nother: d" in it } shouldBe true
    }

    @Test
    fun `a name that can't go into a header makes the terms unreadable`() {
        val encoder = Base64.getUrlEncoder().withoutPadding()
        listOf("a b" to true, "a\r\nb: c" to false, "a\u0000" to false, "" to false).forEach { (name, isReadable) ->
            val terms = PeerRelay.parse("vm-1 0 1 4 ${encoder.encodeToString(name.encodeToByteArray())}")
            (terms?.caller == RelayedCaller(4, name)) shouldBe isReadable
        }
    }

    @Test
    fun `relay headers of an earlier release are read, and written alike`() {
        val (terms, answered, notAnswered) = checkNotNull(javaClass.getResource("/releases/relay-81aa787.txt")).readText().lines()
        PeerRelay.parse(terms) shouldBe RelayTerms("vm-1", 400.milliseconds, 2)
        PeerRelay.format(RelayTerms("vm-1", 400.milliseconds, 2)) shouldBe terms
        PeerRelay.ANSWERED shouldBe answered
        PeerRelay.NOT_ANSWERED shouldBe notAnswered
    }
}
