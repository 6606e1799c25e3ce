package dev.goldcrestquay.standins

import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.net.NetSocket
import org.junit.jupiter.api.Test

/** Tests what callers observe of one entry VM over real connections. */
class CallContractTest {
    private val completeAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole"

    private fun withEntryVm(
        vararg targetAddresses: String,
        fixture: EntryVmFixture,
        deadlineMilliseconds: Long = 5000,
        block: (EntryVmFixture) -> Unit,
    ) = fixture.use {
        it.start(EntryVmFixture.documentFor(*targetAddresses, deadlineMilliseconds = deadlineMilliseconds))
        block(it)
    }

    private fun respondingWith(reply: (NetSocket) -> Unit): (NetSocket) -> Unit = { socket -> socket.handler { reply(socket) } }

    @Test
    fun `each target fault gives the caller the matching status and result code`() {
        val cases =
            listOf(
                Triple("complete answer", respondingWith { it.write(completeAnswer) }, CallerResponse(200, 0, "whole")),
                Triple("reset before an answer", respondingWith { it.close() }, CallerResponse(502, 3001, "")),
                Triple(
                    "reset within the status line",
                    respondingWith { socket ->
                        socket.write("HTTP/1.1 200 O").onComplete { socket.close() }
                    },
                    CallerResponse(502, 3001, ""),
                ),
                Triple(
                    "reset within the body",
                    respondingWith { socket ->
                        socket.write(completeAnswer.dropLast(2)).onComplete { socket.close() }
                    },
                    CallerResponse.CONNECTION_BROKEN,
                ),
                Triple(
                    "reply that is not HTTP",
                    respondingWith { socket ->
                        socket.write("hello\r\n\r\n").onComplete { socket.close() }
                    },
                    CallerResponse(502, 3001, ""),
                ),
                Triple("no answer", respondingWith { }, CallerResponse(504, 3002, "")),
                Triple(
                    "draining",
                    respondingWith { it.write("HTTP/1.1 503 Busy\r\ngoldcrestquay-not-run: draining\r\ncontent-length: 0\r\n\r\n") },
                    CallerResponse(503, 2006, ""),
                ),
                Triple(
                    "error answer of the target",
                    respondingWith {
                        it.write("HTTP/1.1 500 No\r\ncontent-length: 2\r\n\r\nno")
                    },
                    CallerResponse(500, 0, "no"),
                ),
            )
        for ((name, handleConnection, expected) in cases) {
            val fixture = EntryVmFixture()
            withEntryVm(fixture.rawTarget(handleConnection), fixture = fixture, deadlineMilliseconds = 700) {
                val response = it.call("/desk/book", HttpMethod.POST)
                withClue(name) { (if (response.code == 0) response else response.copy(body = "")) shouldBe expected }
            }
        }
    }

    @Test
    fun `invalid requests are refused with their result codes and no call runs`() {
        val fixture = EntryVmFixture()
        withEntryVm(fixture.target(), fixture = fixture) {
            val cases =
                listOf(
                    it.call("/nowhere/x") to (404 to 2001),
                    it.call("/desk/x", headers = mapOf("goldcrestquay-deadline-milliseconds" to "soon")) to (400 to 2009),
                    it.call("/desk/x", headers = mapOf("goldcrestquay-deadline-milliseconds" to "0")) to (504 to 2004),
                    it.call("/desk/x", HttpMethod.POST, body = Buffer.buffer(ByteArray(200_001))) to (413 to 2008),
                    it.call("/entries?service=nowhere") to (404 to 2001),
                )
            cases.map { (response, _) -> response.status to response.code } shouldBe cases.map { (_, expected) -> expected }
            it.runs.size shouldBe 0
        }
    }

    @Test
    fun `calls with buffered and streamed request bodies are answered`() {
        val fixture = EntryVmFixture()
        withEntryVm(fixture.target(), fixture = fixture) {
            // A body of 65,536 bytes is the largest that is buffered; 200,000 bytes is the limit of the service.
            listOf(10, 65_537, 200_000).map { size ->
                it.call("/desk/x", HttpMethod.POST, body = Buffer.buffer(ByteArray(size))).status
            } shouldBe
                listOf(200, 200, 200)
        }
    }

    @Test
    fun `calls run at most once when one of two targets refuses connections`() {
        val fixture = EntryVmFixture()
        withEntryVm(fixture.target(), "127.0.0.1:1", fixture = fixture) {
            repeat(40) { number -> it.call("/desk/x", HttpMethod.POST, mapOf("call-id" to "$number")) }
            it.runs
                .groupingBy { run -> run.callId }
                .eachCount()
                .values
                .max() shouldBe 1
        }
    }

    @Test
    fun `a retry with the same idempotency key does not run again`() {
        val fixture = EntryVmFixture()
        withEntryVm(fixture.target(), fixture = fixture) {
            val key = mapOf("idempotency-key" to "k", "call-id" to "one")
            it.call("/desk/x", HttpMethod.POST, key).status shouldBe 200
            it.call("/desk/x", HttpMethod.POST, key).code shouldBe 3004
            it.call("/desk/other", HttpMethod.POST, key).code shouldBe 2011
            it
                .call(
                    "/desk/x",
                    HttpMethod.POST,
                    mapOf("idempotency-key" to "new", "goldcrestquay-earlier-entries" to "gone~1"),
                ).code shouldBe
                3005
            it.runs.size shouldBe 1
        }
    }

    @Test
    fun `the answer to an address query contains this entry VM`() {
        val fixture = EntryVmFixture()
        withEntryVm(fixture.target(), fixture = fixture) {
            it.call("/entries?service=desk&data-centre=a").body shouldContain it.daemon.callerAddress
        }
    }
}
