package dev.goldcrestquay.standins.platform

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.time.Duration.Companion.seconds

/** Targets that write an earlier refusal once more on a kept connection: it says nothing about the request that runs there now. */
class RepeatedRefusalTest {
    private val entryVm = LoopbackEntryVm()

    /** How often each request ran, by its identifier, at all targets. */
    private val runs = HashMap<String, Int>()

    /**
     * A target that refuses the first request of each connection, or each health check when [refusesHealthChecks], and repeats that
     * refusal before each later answer.
     */
    private inner class RepeatingTarget(
        private val status: Int,
        private val namesRequest: Boolean,
        private val refusesHealthChecks: Boolean = false,
    ) {
        private val refusals = HashMap<NetSocket, String>()

        suspend fun start(): NetServer =
            entryVm.vertx
                .createNetServer()
                .connectHandler { socket ->
                    socket.exceptionHandler { }
                    socket.closeHandler { refusals -= socket }
                    socket.handler { respond(socket, it.toString()) }
                }.listen(0, LoopbackEntryVm.HOST)
                .coAwait()

        private fun respond(
            socket: NetSocket,
            received: String,
        ) {
            if (received.startsWith("GET ${TargetStandIn.HEALTH_PATH} ")) {
                if (refusesHealthChecks) {
                    refusals[socket] = "HTTP/1.1 $status Refused\r\nGoldcrestquay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                }
                socket.write(refusals[socket]?.takeIf { refusesHealthChecks } ?: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                return
            }
            val id =
                received
                    .lines()
                    .first { it.startsWith(ID_HEADER, ignoreCase = true) }
                    .substringAfter(": ")
                    .trim()
            val earlier = refusals[socket]
            if (earlier == null && !refusesHealthChecks) {
                val name = if (namesRequest) "$ID_HEADER: $id\r\n" else ""
                val refusal = "HTTP/1.1 $status Refused\r\n${name}Goldcrestquay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                refusals[socket] = refusal
                socket.write(refusal)
                return
            }
            runs.merge(id, 1, Int::plus)
            val answer = "HTTP/1.1 200 OK\r\n$ID_HEADER: $id\r\nGoldcrestquay-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok"
            socket.write(Buffer.buffer(earlier.orEmpty() + answer))
        }
    }

    @AfterEach
    fun close() = entryVm.close()

    @ParameterizedTest
    @CsvSource("503,true", "503,false", "421,true", "421,false", "429,false")
    fun `a refusal that is repeated does not stand for a request that runs`(
        status: Int,
        namesRequest: Boolean,
    ) = test { RepeatingTarget(status, namesRequest) }

    /** Guards against an order that runs twice, since the refusal of a health check came once more on the same connection. */
    @ParameterizedTest
    @ValueSource(ints = [503, 421, 429])
    fun `a refusal of a health check that is repeated does not stand for a request that runs`(status: Int) =
        test { RepeatingTarget(status, namesRequest = false, refusesHealthChecks = true) }

    private fun test(createTarget: () -> RepeatingTarget): Unit =
        runBlocking {
            withTimeout(30.seconds) {
                val servers = (0..1).map { createTarget().start() }
                val heartbeats =
                    servers.mapIndexed { index, server ->
                        "i-$index" to
                            """{"address":"${LoopbackEntryVm.HOST}:${server.actualPort()}","info":{"service":"shop","version":"v1",""" +
                            """"zone":"north","slots":4},"status":{"state":"ready","seq":1,"warmup_left":"0ms"}}"""
                    }
                entryVm.start(heartbeats.toMap())
                repeat(30) { number ->
                    val id = "call-$number"
                    val answer = entryVm.call("/unsafe/x", HttpMethod.POST, "order", id)
                    withClue("$id: ${answer.statusCode()}, ran ${runs[id]} times") {
                        (runs[id] ?: 0) shouldBeLessThanOrEqual 1
                        if (runs[id] != null) answer.statusCode() shouldBeIn listOf(200, 502, 504)
                    }
                }
            }
        }

    private companion object {
        const val ID_HEADER = "Goldcrestquay-Request-Id"
    }
}
