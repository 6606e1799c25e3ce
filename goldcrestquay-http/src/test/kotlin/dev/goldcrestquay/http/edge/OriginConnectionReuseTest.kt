package dev.goldcrestquay.http.edge

import dev.goldcrestquay.http.edge.ScriptedServer.Companion.request
import dev.goldcrestquay.http.edge.ScriptedServer.Companion.send
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.HttpMethod
import io.vertx.core.Future
import io.vertx.core.buffer.Buffer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** A complete response to a request with [method], as its bytes arrive. */
enum class CompleteResponse(
    val bytes: String,
    val method: HttpMethod = HttpMethod.GET,
) {
    EMPTY("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    WITH_LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"),
    CHUNKED("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
    TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Sum: 1\r\n\r\n"),
    NO_CONTENT("HTTP/1.1 204 No Content\r\n\r\n"),
    NOT_MODIFIED("HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n"),
    HEAD("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", HttpMethod.HEAD),
    AFTER_INFORMATIONAL("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    AFTER_SKIPPED("HTTP/1.1 200 OK\r\nX-Late: 1\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
}

/** What a faulty process sends after a complete response. */
enum class AdditionalBytes(
    val bytes: String,
) {
    ONE_BYTE("H"),
    LINE_END("\r\n"),
    BODY("body"),
    REFUSAL_BEGINNING("HTTP/1.1 503 Service Unavailable\r\nGoldcrestquay-Not-Executed: 1\r\nDate: "),
    INFORMATIONAL("HTTP/1.1 102 Processing\r\n\r\n"),
    INFORMATIONAL_BEGINNING("HTTP/1.1 102 Processing\r\nX-Old: "),
    RESPONSE("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"),
}

/** Bytes that follow a complete response belong to no request: a connection on which they arrived carries no further one. */
class OriginConnectionReuseTest {
    private val server = ScriptedServer()

    @AfterEach
    fun close() = server.close()

    private suspend fun exchange(response: CompleteResponse): OriginConnection {
        val connection = server.pool.open(server.address)
        val reply = connection.send(request(response.method)) { !it.headers().contains("X-Late") }
        reply.readToEnd(1000)
        return connection
    }

    @ParameterizedTest
    @EnumSource
    fun `a connection is used again after a complete response`(response: CompleteResponse) =
        server.test({ socket, _ -> socket.send(response.bytes) }) {
            val connection = exchange(response)
            connection.isUsable shouldBe true
            server.pool.release(connection)
            server.pool.takeIdle(server.address) shouldBe connection
        }

    /** Guards against an order that runs twice, since the beginning of a refusal was joined with the response to it. */
    @ParameterizedTest
    @EnumSource
    fun `a connection is not used again when bytes follow a complete response`(response: CompleteResponse) =
        AdditionalBytes.entries.forEach { additional ->
            server.test({ socket, _ -> socket.send(response.bytes + additional.bytes) }) {
                withClue(additional) { exchange(response).isUsable shouldBe false }
            }
        }

    /** Guards against the same when the event loop is late: the bytes are in the socket, and no handler has seen them. */
    @ParameterizedTest
    @EnumSource
    fun `a connection whose socket holds bytes is not used again`(additional: AdditionalBytes) =
        server.test({ socket, _ -> socket.send(CompleteResponse.EMPTY.bytes) }) {
            server.pool.release(exchange(CompleteResponse.EMPTY))
            stallUntilDone(server.sockets.single().write(Buffer.buffer(additional.bytes)))
            server.pool.takeIdle(server.address) shouldBe null
        }

    /** Guards against requests that are lost since they are sent on a connection that the other side has closed. */
    @Test
    fun `a connection that the other side has closed is not used again, though the event loop is late`() =
        server.test({ socket, _ -> socket.send(CompleteResponse.EMPTY.bytes) }) {
            server.pool.release(exchange(CompleteResponse.EMPTY))
            stallUntilDone(server.sockets.single().close())
            server.pool.takeIdle(server.address) shouldBe null
        }

    private fun stallUntilDone(operation: Future<Void>) {
        operation.toCompletionStage().toCompletableFuture().join()
    }
}
