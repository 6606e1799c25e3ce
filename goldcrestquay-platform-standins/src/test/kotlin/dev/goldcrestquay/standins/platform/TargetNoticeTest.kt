package dev.goldcrestquay.standins.platform

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What targets say of themselves in their answers, over sockets. */
class TargetNoticeTest {
    private val entryVm = LoopbackEntryVm()
    private val noticed = TargetStandIn(entryVm.vertx, "noticed")
    private val other = TargetStandIn(entryVm.vertx, "other")

    @AfterEach
    fun close() = entryVm.close()

    private fun test(
        targets: List<TargetStandIn> = listOf(noticed, other),
        body: suspend () -> Unit,
    ): Unit =
        runBlocking {
            withTimeout(30.seconds) {
                targets.forEach { it.start() }
                entryVm.start(targets.associate { it.id to it.heartbeat("shop") })
                body()
            }
        }

    /** Sends requests until [target] has got one. */
    private suspend fun reach(target: TargetStandIn) {
        val before = target.executed.size + target.shedRequests
        while (target.executed.size + target.shedRequests == before) entryVm.call("/safe/x")
    }

    @Test
    fun `a target that leaves by its health check gets no request`() =
        test {
            noticed.leavingValues = listOf("1")
            repeat(40) { entryVm.statusOf("/safe/x") shouldBe 200 }
            noticed.executed.shouldBeEmpty()
            noticed.healthChecks shouldBeLessThanOrEqual 2
        }

    @Test
    fun `an answer that says that its target leaves is passed on, and is the last one`() =
        test {
            noticed.doesHealthCheckTell = false
            noticed.leavingValues = listOf("1")
            var last = entryVm.call("/safe/x")
            while (noticed.executed.isEmpty()) last = entryVm.call("/safe/x")
            last.getHeader("Server-Leaving") shouldBe "1"
            repeat(40) { entryVm.statusOf("/safe/x") shouldBe 200 }
            noticed.executed.size shouldBe 1
        }

    @Test
    fun `repeated headers and other values say nothing`() =
        test {
            listOf(listOf("0"), listOf("1", "1"), listOf("true")).forEach { values ->
                noticed.leavingValues = values
                withClue(values) { withTimeout(5.seconds) { reach(noticed) } }
            }
        }

    @Test
    fun `a new start at the address of one that leaves is served at once`() =
        test {
            noticed.leavingValues = listOf("1")
            repeat(10) { entryVm.statusOf("/safe/x") shouldBe 200 }
            val started = TargetStandIn(entryVm.vertx, "started").also { it.start() }
            entryVm.store.write("keyed.servers", "started", started.heartbeat("shop"))
            withTimeout(5.seconds) { while (started.executed.isEmpty()) entryVm.call("/safe/x").statusCode() shouldBe 200 }
            noticed.executed.shouldBeEmpty()
        }

    @Test
    fun `a peer that relayed a request is told which target leaves, by the entry VM alone`() =
        test(listOf(noticed)) {
            val client = WebClient.create(entryVm.vertx)

            suspend fun relayed() =
                client
                    .request(HttpMethod.POST, entryVm.firstPort + CONTROL_PORT_OFFSET, LoopbackEntryVm.HOST, "/unsafe/x")
                    .putHeader("Host", "shop.example")
                    .putHeader("Goldcrestquay-Request-Id", "relayed")
                    .putHeader("Goldcrestquay-Deadline-Ms", "1500")
                    .putHeader("goldcrestquay-relay", "vm-7 0 1")
                    .sendBuffer(Buffer.buffer("order"))
                    .coAwait()
            relayed().getHeader("goldcrestquay-relay-leaving") shouldBe null
            noticed.leavingValues = listOf("1")
            relayed().getHeader("goldcrestquay-relay-leaving") shouldBe "noticed"
            withClue("answers to callers") { entryVm.call("/safe/x").getHeader("goldcrestquay-relay-leaving") shouldBe null }
        }

    /** All callers go on to call at once whatever they are told; the target gets the requests under way and no more. */
    @Test
    fun `a target that asks for a time without requests gets at most two more until it ends`() =
        test(listOf(noticed)) {
            noticed.responseMode = { ResponseMode.SHED }
            noticed.retryAfter = "60"
            val refusal = entryVm.call("/safe/x")
            refusal.statusCode() shouldBe 503
            refusal.getHeader("goldcrestquay-code") shouldBe "2002"
            refusal.getHeader("Retry-After").toDouble() shouldBeGreaterThanOrEqualTo 55.0
            delay(100.milliseconds)
            val before = noticed.shedRequests + noticed.healthChecks
            repeat(15) {
                val statuses = coroutineScope { List(20) { async { entryVm.statusOf("/safe/x") } }.awaitAll() }
                statuses.toSet() shouldBe setOf(503)
                delay(100.milliseconds)
            }
            noticed.shedRequests + noticed.healthChecks - before shouldBeLessThanOrEqual 2
        }

    @Test
    fun `a target is served again once its time without requests has ended`() =
        test(listOf(noticed)) {
            noticed.responseMode = { ResponseMode.SHED }
            noticed.retryAfter = "0.5"
            entryVm.statusOf("/safe/x") shouldBe 503
            noticed.responseMode = { ResponseMode.ANSWER }
            entryVm.waitUntil { entryVm.statusOf("/safe/x") == 200 }
        }

    @Test
    fun `a failing health check that asks for a time without requests counts too`() =
        test {
            noticed.healthy = false
            noticed.retryAfter = "60"
            entryVm.waitUntil {
                entryVm.statusOf("/safe/x")
                noticed.healthChecks > 0
            }
            val before = noticed.healthChecks
            repeat(40) { entryVm.statusOf("/safe/x") shouldBe 200 }
            noticed.healthChecks - before shouldBeLessThanOrEqual 2
            noticed.executed.shouldBeEmpty()
            other.executed.size shouldBeGreaterThan 39
        }

    @Test
    fun `what is no number of seconds asks for no time without requests`() =
        test {
            noticed.responseMode = { ResponseMode.SHED }
            listOf("-5", "soon", "Sat, 05 Dec 2099 10:00:00 GMT").forEach { value ->
                noticed.retryAfter = value
                repeat(2) { withClue(value) { withTimeout(5.seconds) { reach(noticed) } } }
            }
        }
}
