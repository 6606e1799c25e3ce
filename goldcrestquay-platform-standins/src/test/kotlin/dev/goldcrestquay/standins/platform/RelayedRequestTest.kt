package dev.goldcrestquay.standins.platform

import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Requests that a cut-off entry VM relays, as the peer that serves them sees them. */
class RelayedRequestTest {
    private val entryVm = LoopbackEntryVm()
    private val targets = (0..2).map { TargetStandIn(entryVm.vertx, "i-$it") }
    private val client = WebClient.create(entryVm.vertx)

    @AfterEach
    fun close() = entryVm.close()

    private fun test(body: suspend () -> Unit): Unit =
        runBlocking {
            withTimeout(30.seconds) {
                targets.forEach { it.start() }
                entryVm.start(targets.associate { it.id to it.heartbeat("shop") })
                body()
            }
        }

    private suspend fun relay(
        terms: String,
        portOffset: Int = CONTROL_PORT_OFFSET,
    ): HttpResponse<Buffer> =
        client
            .request(HttpMethod.POST, entryVm.firstPort + portOffset, LoopbackEntryVm.HOST, "/unsafe/x?y=1")
            .putHeader("Host", "shop.example")
            .putHeader("Goldcrestquay-Request-Id", "relayed")
            .putHeader("Goldcrestquay-Deadline-Ms", "1500")
            .putHeader("goldcrestquay-relay", terms)
            .sendBuffer(Buffer.buffer("order"))
            .coAwait()

    private val executed get() = targets.flatMap { it.executed }

    @Test
    fun `a relayed request runs unchanged, with the time that is left, and its answer is told apart`() =
        test {
            val answer = relay("vm-7 400 1")
            answer.statusCode() shouldBe 200
            answer.getHeader("goldcrestquay-relay") shouldBe "answered"
            answer.getHeader("Goldcrestquay-Request-Id") shouldBe "relayed"
            (answer.getHeader("Goldcrestquay-Server-Seal") != null) shouldBe true
            val request = executed.single()
            request.uri shouldBe "/unsafe/x?y=1"
            request.body shouldBe "order"
            checkNotNull(request.deadlineMilliseconds).shouldBeInRange(500L..1100L)
        }

    @Test
    fun `a relayed request that no target takes is refused as not run after the attempts that were left`() =
        test {
            var attempts = 0
            targets.forEach { target ->
                target.responseMode = {
                    attempts++
                    ResponseMode.SHED
                }
            }
            val refusal = relay("vm-7 0 1")
            refusal.statusCode() shouldBe 503
            refusal.getHeader("goldcrestquay-relay") shouldBe "not-answered"
            refusal.getHeader("goldcrestquay-code") shouldBe "2014"
            attempts shouldBe 1
            executed shouldHaveSize 0
        }

    @Test
    fun `terms that can't be read make no relayed request, and those of a caller are ignored`() =
        test {
            listOf("", "vm-7", "vm-7 x 1", "vm-7 -5 1", "vm-7 5 0", "vm-7 5 1 9").forEach { relay(it).statusCode() shouldBe 404 }
            executed shouldHaveSize 0
            val answer = relay("vm-7 0 1", portOffset = 0)
            answer.statusCode() shouldBe 200
            answer.getHeader("goldcrestquay-relay") shouldBe null
        }
}
