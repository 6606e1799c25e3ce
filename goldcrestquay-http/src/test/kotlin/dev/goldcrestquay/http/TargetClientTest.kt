package dev.goldcrestquay.http

import dev.goldcrestquay.contract.Target
import dev.goldcrestquay.link.Attempt
import dev.goldcrestquay.link.SendResult
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Answers that are none, from targets of the project's own interface. */
class TargetClientTest {
    private val vertx = Vertx.vertx()
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())

    @AfterEach
    fun close() {
        server.close()
        vertx
            .close()
            .toCompletionStage()
            .toCompletableFuture()
            .join()
    }

    /** Reads the beginning of one request, sends [answer] and resets the connection, or shuts it down. */
    private fun answerOnce(
        answer: String,
        isReset: Boolean,
    ) = thread(isDaemon = true) {
        server.accept().use { socket ->
            socket.getInputStream().read()
            socket.getOutputStream().write(answer.encodeToByteArray())
            if (isReset) socket.setSoLinger(true, 0) else socket.shutdownOutput()
        }
    }

    /** Returns the status and body of the answer, or null when there is no complete answer. */
    private fun answerTo(
        uploadBytes: Int,
        answer: String,
        isReset: Boolean,
    ): Pair<Int, String>? =
        runBlocking {
            withTimeout(60.seconds) {
                answerOnce(answer, isReset)
                withContext(vertx.orCreateContext.dispatcher()) { send(uploadBytes) }
            }
        }

    private suspend fun send(uploadBytes: Int): Pair<Int, String>? {
        val target = Target("t", "${server.inetAddress.hostAddress}:${server.localPort}", "north", "v1")
        val body = RequestBody.Buffered(Buffer.buffer(ByteArray(uploadBytes)))
        val result = TargetClient(vertx).send(target, Attempt(1, 20.seconds, 1), TargetRequest(HttpMethod.PUT, "/", emptyList(), body))
        if (result !is SendResult.Replied<HttpClientResponse>) {
            result.shouldBeInstanceOf<SendResult.Broken>()
            return null
        }
        return try {
            result.reply.statusCode() to
                result.reply
                    .also { it.resume() }
                    .body()
                    .coAwait()
                    .toString()
        } catch (_: IOException) {
            null
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [100_000, 32_000_000])
    fun `an answer without a length is not complete when its connection is reset during the upload`(uploadBytes: Int) =
        repeat(10) { number ->
            withClue("upload $number") {
                answerTo(uploadBytes, "HTTP/1.1 200 OK\r\n\r\npart", isReset = true) shouldBe
                    null
            }
        }

    @ParameterizedTest
    @ValueSource(strings = ["000", "099", "600", "999"])
    fun `an answer with an invalid status is none`(status: String) {
        answerTo(1, "HTTP/1.1 $status Trouble\r\nContent-Length: 4\r\n\r\nbody", isReset = false) shouldBe null
    }

    @ParameterizedTest
    @ValueSource(ints = [200, 404, 599])
    fun `an answer with any other status is passed on`(status: Int) {
        answerTo(1, "HTTP/1.1 $status Usual\r\nContent-Length: 4\r\n\r\nbody", isReset = false) shouldBe (status to "body")
    }
}
