package dev.goldcrestquay.standins

import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.net.NetSocket
import org.junit.jupiter.api.Test

class CallContractTest {
    private val answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole"

    private fun withPath(
        vararg targets: String,
        fixture: PathFixture,
        deadlineMilliseconds: Long = 5000,
        test: (PathFixture) -> Unit,
    ) = fixture.use {
        it.start(PathFixture.documentFor(*targets, deadlineMilliseconds = deadlineMilliseconds))
        test(it)
    }

    private fun answering(reply: (NetSocket) -> Unit): (NetSocket) -> Unit = { socket -> socket.handler { reply(socket) } }

    @Test
    fun `each fault of a target ends a booking in one honest way`() {
        val cases =
            listOf(
                Triple("whole", answering { it.write(answer) }, Seen(200, 0, "whole")),
                Triple("reset before an answer", answering { it.close() }, Seen(502, 3001, "")),
                Triple(
                    "reset within the head",
                    answering { socket ->
                        socket.write("HTTP/1.1 200 O").onComplete { socket.close() }
                    },
                    Seen(502, 3001, ""),
                ),
                Triple(
                    "broken off body",
                    answering { socket ->
                        socket.write(answer.dropLast(2)).onComplete { socket.close() }
                    },
                    Seen.BROKEN,
                ),
                Triple("no HTTP", answering { socket -> socket.write("hello\r\n\r\n").onComplete { socket.close() } }, Seen(502, 3001, "")),
                Triple("no answer", answering { }, Seen(504, 3002, "")),
                Triple(
                    "draining",
                    answering { it.write("HTTP/1.1 503 Busy\r\ngoldcrestquay-not-run: draining\r\ncontent-length: 0\r\n\r\n") },
                    Seen(503, 2006, ""),
                ),
                Triple("error of its own", answering { it.write("HTTP/1.1 500 No\r\ncontent-length: 2\r\n\r\nno") }, Seen(500, 0, "no")),
            )
        for ((name, handle, expected) in cases) {
            val fixture = PathFixture()
            withPath(fixture.rawTarget(handle), fixture = fixture, deadlineMilliseconds = 700) {
                val seen = it.call("/desk/book", HttpMethod.POST)
                withClue(name) { (if (seen.code == 0) seen else seen.copy(body = "")) shouldBe expected }
            }
        }
    }

    @Test
    fun `bad calls get a numbered refusal`() {
        val fixture = PathFixture()
        withPath(fixture.target(), fixture = fixture) {
            val cases =
                listOf(
                    it.call("/nowhere/x") to (404 to 2001),
                    it.call("/desk/x", headers = mapOf("goldcrestquay-deadline-milliseconds" to "soon")) to (400 to 2009),
                    it.call("/desk/x", headers = mapOf("goldcrestquay-deadline-milliseconds" to "0")) to (504 to 2004),
                    it.call("/desk/x", HttpMethod.POST, body = Buffer.buffer(ByteArray(200_001))) to (413 to 2008),
                    it.call("/entries?service=nowhere") to (404 to 2001),
                )
            cases.map { (seen, _) -> seen.status to seen.code } shouldBe cases.map { (_, expected) -> expected }
            it.runs.size shouldBe 0
        }
    }

    @Test
    fun `bodies kept, streamed and without a length arrive`() {
        val fixture = PathFixture()
        withPath(fixture.target(), fixture = fixture) {
            listOf(10, 65_537, 200_000).map { size ->
                it.call("/desk/x", HttpMethod.POST, body = Buffer.buffer(ByteArray(size))).status
            } shouldBe
                listOf(200, 200, 200)
        }
    }

    @Test
    fun `a refused connection is passed over and a call runs once`() {
        val fixture = PathFixture()
        withPath(fixture.target(), "127.0.0.1:1", fixture = fixture) {
            repeat(40) { number -> it.call("/desk/x", HttpMethod.POST, mapOf("call-id" to "$number")) }
            it.runs
                .groupingBy { run -> run.call }
                .eachCount()
                .values
                .max() shouldBe 1
        }
    }

    @Test
    fun `a repeat under the same key does not run again`() {
        val fixture = PathFixture()
        withPath(fixture.target(), fixture = fixture) {
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
    fun `the address answer names this entry VM`() {
        val fixture = PathFixture()
        withPath(fixture.target(), fixture = fixture) {
            it.call("/entries?service=desk&data-centre=a").body shouldContain it.daemon.callerAddress
        }
    }
}
