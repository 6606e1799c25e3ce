package dev.goldcrestquay.http.edge

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.link.asClock
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.machine.SocketAddress
import dev.goldcrestquay.machine.TargetPhase
import dev.goldcrestquay.routing.Dispatch
import dev.goldcrestquay.routing.TargetNotices
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeIn
import io.vertx.core.Vertx
import io.vertx.core.internal.ContextInternal
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** How the connection ends under an answer that states no length, whether the event loop is behind, and the size of the upload. */
enum class EarlyEnd(
    val isReset: Boolean,
    val isEventLoopLate: Boolean,
    val uploadBytes: Int = LARGE_UPLOAD_BYTES,
) {
    RESET(isReset = true, isEventLoopLate = false),
    RESET_SEEN_LATE(isReset = true, isEventLoopLate = true),
    RESET_OF_SMALL_UPLOAD(isReset = true, isEventLoopLate = false, SMALL_UPLOAD_BYTES),
    RESET_OF_SMALL_UPLOAD_SEEN_LATE(isReset = true, isEventLoopLate = true, SMALL_UPLOAD_BYTES),
    CLOSED(isReset = false, isEventLoopLate = false),
    CLOSED_SEEN_LATE(isReset = false, isEventLoopLate = true),
}

/** More than the buffers of two loopback sockets hold, so that it is still being written. */
private const val LARGE_UPLOAD_BYTES = 32_000_000

/** Little enough that the sockets' buffers hold all of it while the target has read its beginning only. */
private const val SMALL_UPLOAD_BYTES = 100_000

/** A target answers an upload at once with no length, and its connection ends while the upload is still being written. */
class EarlyAnswerTest {
    private val vertx = Vertx.vertx()
    private val context = vertx.orCreateContext
    private val clock = TimeSource.Monotonic.asClock()
    private val pool = OriginPool((context as ContextInternal).nettyEventLoop(), clock)
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val protocol =
        TargetProtocol("Request-Id", "Deadline", "Signature", "Expected-Target", "Not-Run", "Target-Id", { null }, { null })

    @AfterEach
    fun close() {
        server.close()
        vertx
            .close()
            .toCompletionStage()
            .toCompletableFuture()
            .join()
    }

    /** Reads the beginning of one upload, answers it in part and ends the connection, unless it is only shut down until [release]. */
    private fun answerOnce(
        end: EarlyEnd,
        ended: CompletableFuture<Unit>,
        release: CompletableFuture<Unit>,
    ) = thread(isDaemon = true) {
        server.accept().use { socket: Socket ->
            socket.getInputStream().read()
            socket.getOutputStream().write(ANSWER.encodeToByteArray())
            if (end.isReset) {
                socket.setSoLinger(true, 0)
                socket.close()
            } else {
                socket.shutdownOutput()
            }
            ended.complete(Unit)
            release.join()
        }
    }

    @ParameterizedTest
    @EnumSource
    fun `an answer without a length is not complete when its connection ends during the upload`(end: EarlyEnd): Unit =
        runBlocking {
            withTimeout(60.seconds) {
                repeat(REPETITIONS) { number ->
                    val ended = CompletableFuture<Unit>()
                    val release = CompletableFuture<Unit>()
                    answerOnce(end, ended, release)
                    val result = withContext(context.dispatcher()) { upload(end, ended) }
                    release.complete(Unit)
                    withClue("upload $number") { result shouldBeIn INCOMPLETE }
                }
            }
        }

    private suspend fun upload(
        end: EarlyEnd,
        ended: CompletableFuture<Unit>,
    ): SendResult<EdgeReply> =
        coroutineScope {
            val address = SocketAddress(server.inetAddress.hostAddress, server.localPort)
            val target = RegisteredTarget("t", "shop", address, "north", "v1", 4, TargetPhase.READY, Duration.ZERO, null, 1)
            val connection = pool.open(address)
            val request = EdgeRequest("r", "PUT", "/", emptyList(), ByteArray(end.uploadBytes))
            val exchange = TargetExchange(pool, protocol, TargetNotices(clock))
            val result = async { exchange.send(request, Dispatch(target, connection, 20.seconds) { true }) }
            if (end.isEventLoopLate) {
                yield()
                ended.join()
            }
            result.await()
        }

    private companion object {
        const val REPETITIONS = 10

        const val ANSWER = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nSignature: s\r\n\r\npart of the body"
        val INCOMPLETE = listOf(SendResult.Broken(ResultCode.CONNECTION_LOST), SendResult.Broken(ResultCode.ANSWER_TRUNCATED))
    }
}
