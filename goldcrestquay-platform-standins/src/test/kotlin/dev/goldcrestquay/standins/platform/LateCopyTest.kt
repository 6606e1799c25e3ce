package dev.goldcrestquay.standins.platform

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.time.Duration.Companion.seconds

/** When and how a target sends bytes of an earlier response once more. */
enum class LateCopy {
    /** The whole copy comes together with the response. */
    WITH_RESPONSE,

    /** The whole copy comes before the response to the next request. */
    BEFORE_NEXT,

    /** The copy names no request. */
    WITHOUT_ID,

    /** The copy has no length. */
    WITHOUT_LENGTH,

    /** Only the beginning of the copy comes, together with the response. */
    BEGINNING_WITH_RESPONSE,

    /** Only the beginning of the copy comes, while the connection is idle. */
    BEGINNING_LATER,

    /** Only the beginning of a refusal comes, together with each health response. */
    REFUSAL_BEGINNING_WITH_HEALTH_RESPONSE,

    /** An informational response and then the copy come before the response to the next request. */
    AFTER_INFORMATIONAL,
}

/** A target that answers twice on a connection in use again: the next caller must get its own answer or a failure, never a copy. */
class LateCopyTest {
    private val entryVm = LoopbackEntryVm()
    private var previous: String? = null
    private var openSockets = 0

    private fun response(
        id: String,
        status: Int = 200,
        hasId: Boolean = true,
        hasLength: Boolean = true,
    ): String {
        val idHeader = if (hasId) "Goldcrestquay-Request-Id: $id\r\n" else ""
        val length = if (hasLength) "Content-Length: ${id.length}\r\n" else ""
        return "HTTP/1.1 $status Status\r\n${idHeader}Goldcrestquay-Server-Seal: seal-$id\r\n$length\r\n$id"
    }

    private suspend fun startTarget(copy: LateCopy): NetServer =
        entryVm.vertx
            .createNetServer()
            .connectHandler { socket ->
                openSockets++
                socket.closeHandler { openSockets-- }
                socket.exceptionHandler { }
                socket.handler { respond(socket, it.toString(), copy) }
            }.listen(0, LoopbackEntryVm.HOST)
            .coAwait()

    private fun respond(
        socket: NetSocket,
        received: String,
        copy: LateCopy,
    ) {
        if (received.startsWith("GET ${TargetStandIn.HEALTH_PATH} ")) {
            val after = if (copy == LateCopy.REFUSAL_BEGINNING_WITH_HEALTH_RESPONSE) PARTIAL_REFUSAL else ""
            socket.write("HTTP/1.1 200 OK\r\nGoldcrestquay-Instance-Id: i-0\r\nContent-Length: 0\r\n\r\n$after")
            return
        }
        val id =
            received
                .lines()
                .first { it.startsWith("Goldcrestquay-Request-Id: ", ignoreCase = true) }
                .substringAfter(": ")
                .trim()
        // Every other response is a failure, so that a copy in its place shows in the status too.
        val own = response(id, if (id.last().digitToInt() % 2 == 0) 200 else 500)
        val earlier = previous
        previous = id
        val early =
            when (copy) {
                LateCopy.BEFORE_NEXT -> earlier?.let { response(it) }
                LateCopy.WITHOUT_ID -> earlier?.let { response(it, hasId = false) }
                LateCopy.WITHOUT_LENGTH -> earlier?.let { response(it, hasLength = false) }
                LateCopy.AFTER_INFORMATIONAL -> earlier?.let { "HTTP/1.1 102 Processing\r\n\r\n" + response(it) }
                else -> null
            }
        val after =
            when (copy) {
                LateCopy.WITH_RESPONSE -> own
                LateCopy.BEGINNING_WITH_RESPONSE -> PARTIAL_HEAD
                else -> ""
            }
        socket.write(Buffer.buffer(early.orEmpty() + own + after))
        if (copy == LateCopy.BEGINNING_LATER) entryVm.vertx.setTimer(LATER_MILLISECONDS) { socket.write(PARTIAL_HEAD) }
    }

    @AfterEach
    fun close() = entryVm.close()

    @ParameterizedTest
    @EnumSource
    fun `a late copy of an answer never reaches the next caller`(copy: LateCopy): Unit =
        runBlocking {
            withTimeout(30.seconds) {
                val target = startTarget(copy)
                val heartbeat =
                    """{"address":"${LoopbackEntryVm.HOST}:${target.actualPort()}","info":{"service":"shop","version":"v1",""" +
                        """"zone":"north","slots":4},"status":{"state":"ready","seq":1,"warmup_left":"0ms"}}"""
                entryVm.start(mapOf("i-0" to heartbeat))
                repeat(10) { number ->
                    val id = "call-$number"
                    val answer = entryVm.call("/unsafe/x", HttpMethod.POST, "order", id, deadlineMilliseconds = 500)
                    withClue("$id: ${answer.bodyAsString()}") {
                        if (answer.getHeader("Goldcrestquay-Server-Seal") == null) {
                            answer.statusCode() shouldBeIn listOf(502, 504)
                        } else {
                            answer.bodyAsString() shouldBe id
                            answer.statusCode() shouldBe if (number % 2 == 0) 200 else 500
                        }
                    }
                    if (copy == LateCopy.BEGINNING_LATER) entryVm.waitUntil { openSockets == 0 }
                }
            }
        }

    private companion object {
        /** The status line of the next response becomes the value of its header. */
        const val PARTIAL_HEAD = "HTTP/1.1 200 OK\r\nX-Old: "

        /** Makes the next response read as a refusal, although its request ran. */
        const val PARTIAL_REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nGoldcrestquay-Not-Executed: 1\r\nDate: "

        const val LATER_MILLISECONDS = 3L
    }
}
