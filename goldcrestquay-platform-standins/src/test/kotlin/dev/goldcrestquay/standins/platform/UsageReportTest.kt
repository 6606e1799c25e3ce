package dev.goldcrestquay.standins.platform

import dev.goldcrestquay.machine.ExchangeRequest
import dev.goldcrestquay.machine.FleetMember
import dev.goldcrestquay.machine.SocketAddress
import dev.goldcrestquay.usage.ProcessUsage
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Usage as the platform gets it from an entry VM over loopback; the counts come from a peer. */
class UsageReportTest {
    private val entry = LoopbackEntryVm()
    private val api = PlatformApiStandIn(entry.vertx)

    @AfterEach
    fun close() = entry.close()

    @Test
    fun `a report is repeated unchanged over refusals and a lost connection, and under a new token after 409`(): Unit =
        runBlocking {
            withTimeout(60.seconds) {
                api.start()
                entry.store.hidesEmpty = { it == "keyed.usage" }
                entry.start(emptyMap(), usage = UsageBounds(api.port, window = "1s", dueAfter = "5s", leaseTime = "400ms"))
                val window = System.currentTimeMillis() / WINDOW_MILLISECONDS + 1
                val firstToken = (1L shl Int.SIZE_BITS) + 1
                val faults = ArrayDeque(listOf(ApiFault.THROTTLED, ApiFault.REFUSED, null, ApiFault.ANSWER_LOST))
                api.fault = { if (it == window && faults.size > 0) faults.removeFirst() else null }
                tellCounts(window, mapOf("a" to 3L, "b" to 1L))
                entry.waitUntil { api.reports.count { it.window == window } == 2 }
                api.highestToken = firstToken + 1
                entry.waitUntil { api.reports.any { it.window == window && it.status == 200 } }
                val reports = api.reports.filter { it.window == window }
                reports.map { it.status } shouldBe listOf(429, 503, 409, null, 200)
                reports.map { it.counts }.distinct() shouldBe listOf(mapOf("a" to 3L, "b" to 1L))
                reports.map { it.holder }.distinct() shouldBe listOf("entry")
                reports.take(3).map { it.token }.distinct() shouldBe listOf(firstToken)
                reports
                    .drop(3)
                    .map { it.token }
                    .distinct()
                    .single() shouldBeGreaterThan firstToken + 1
                api.carriedOut.filter { it.first == window }.distinct() shouldHaveSize 1
                api.reports.filter { it.status == 200 }.map { it.window } shouldContain window - 1
            }
        }

    @Test
    fun `where the platform names no duty, its store gets the same calls as before`(): Unit =
        runBlocking {
            withTimeout(60.seconds) {
                entry.start(emptyMap())
                entry.waitUntil { (entry.store.callsByPath["/log-read"] ?: 0) > 4 }
                entry.store.callsByPath.keys shouldNotContain "/log-append"
                entry.store.topicNames shouldBe setOf("keyed.op", "keyed.servers", "keyed.status")
            }
        }

    /** Tells the entry VM the counts of a peer, as an exchange request does. */
    private suspend fun tellCounts(
        window: Long,
        counts: Map<String, Long>,
    ) {
        val peer =
            FleetMember(
                "peer",
                1,
                "north",
                SocketAddress("127.0.0.1", 1),
                SocketAddress("127.0.0.1", 2),
                accepting = false,
                formatVersion = 1,
            )
        val request = ExchangeRequest(peer, known = null, holdMilliseconds = 0, usage = listOf(ProcessUsage("peer/1", window, counts)))
        WebClient
            .create(entry.vertx)
            .post(entry.firstPort + CONTROL_PORT_OFFSET, LoopbackEntryVm.HOST, "/exchange")
            .sendBuffer(Buffer.buffer(Json.encodeToString(ExchangeRequest.serializer(), request)))
            .coAwait()
            .statusCode() shouldBe 200
    }

    private companion object {
        const val WINDOW_MILLISECONDS = 1_000L
    }
}
