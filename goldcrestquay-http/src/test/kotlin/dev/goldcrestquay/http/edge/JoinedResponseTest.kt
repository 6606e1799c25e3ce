package dev.goldcrestquay.http.edge

import dev.goldcrestquay.http.edge.ScriptedServer.Companion.request
import dev.goldcrestquay.http.edge.ScriptedServer.Companion.send
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Where the head of a response breaks off, before that of another follows. */
enum class PartialHead(
    val bytes: String,
) {
    VERSION("HTTP/1."),
    STATUS("HTTP/1.1 5"),
    COMPLETE_STATUS("HTTP/1.1 503"),
    REASON("HTTP/1.1 503 "),
    WITHIN_REASON("HTTP/1.1 503 Service Una"),
    STATUS_LINE("HTTP/1.1 503 Service Unavailable\r\n"),
    HEADER_NAME("HTTP/1.1 503 Service Unavailable\r\nGoldcrestquay-Not-Executed: 1\r\nDa"),
    HEADER_VALUE("HTTP/1.1 503 Service Unavailable\r\nGoldcrestquay-Not-Executed: 1\r\nDate: "),
    WITHIN_HEADER_VALUE("HTTP/1.1 503 Service Unavailable\r\nGoldcrestquay-Not-Executed: 1\r\nDate: Mon"),
    HEADER_LINE("HTTP/1.1 503 Service Unavailable\r\nGoldcrestquay-Not-Executed: 1\r\n"),
}

/** The beginning of a head before a response, as a faulty process sends it, must not change what the response says. */
class JoinedResponseTest {
    private val server = ScriptedServer()

    @AfterEach
    fun close() = server.close()

    /** Guards against an order that runs twice, since the beginning of a refusal arrived after the order was sent. */
    @ParameterizedTest
    @EnumSource
    fun `a response that begins within the head of another is not taken for either`(partial: PartialHead) =
        server.test({ socket, _ -> socket.send(partial.bytes + RESPONSE) }) {
            val connection = server.pool.open(server.address)
            shouldThrow<OriginException> { connection.send(request()) { true } }
            connection.isUsable shouldBe false
        }

    @Test
    fun `a header that names the protocol of a proxy is no status line`() =
        server.test({ socket, _ -> socket.send("HTTP/1.1 200 HTTP/1.1 fine\r\nVia: HTTP/1.1 gateway\r\nContent-Length: 0\r\n\r\n") }) {
            val reply = server.pool.open(server.address).send(request()) { true }
            reply.head.status().code() shouldBe 200
        }

    private companion object {
        const val RESPONSE = "HTTP/1.1 200 OK\r\nGoldcrestquay-Server-Seal: s\r\nContent-Length: 0\r\n\r\n"
    }
}
