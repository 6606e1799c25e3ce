package dev.goldcrestquay.standins.platform

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/** A planned stop under load must not cut off a request that a target has run, nor one on a connection that was just accepted. */
class PlannedStopTest {
    private val entryVm = LoopbackEntryVm()
    private var targets = targets(executionMilliseconds = 60)

    private fun targets(executionMilliseconds: Long) = List(2) { TargetStandIn(entryVm.vertx, "i-$it", executionMilliseconds) }

    @AfterEach
    fun close() = entryVm.close()

    private fun test(
        timeout: String = "2000ms",
        body: suspend () -> Unit,
    ) = runBlocking {
        withTimeout(30.seconds) {
            targets.forEach { it.start() }
            entryVm.start(targets.associate { it.id to it.heartbeat("shop") }, timeout)
            body()
        }
    }

    private suspend fun drain() = withContext(entryVm.vertx.orCreateContext.dispatcher()) { entryVm.node.gateway.drain() }

    @Test
    fun `every request under load gets its answer or a refusal, or was never run`() =
        test {
            val statuses = ConcurrentHashMap<String, Int>()
            val broken = ConcurrentHashMap.newKeySet<String>()
            var draining = true
            coroutineScope {
                repeat(12) { caller ->
                    launch {
                        var number = 0
                        while (draining) {
                            val id = "r-$caller-${number++}"
                            val status = entryVm.statusOf("/unsafe/x", HttpMethod.POST, "order", id)
                            if (status == null) broken += id else statuses[id] = status
                        }
                    }
                }
                entryVm.waitUntil { statuses.size > 50 }
                drain()
                draining = false
            }
            val executed = targets.flatMap { target -> target.executed.map { it.id } }
            executed.filter { it in broken }.shouldBeEmpty()
            executed.filter { statuses[it] != 200 }.shouldBeEmpty()
            executed.size shouldBe executed.toSet().size
            statuses.values
                .toSet()
                .minus(setOf(200, 503))
                .shouldBeEmpty()
            executed.shouldNotBeEmpty()
        }

    @Test
    fun `a request on a connection that was opened just before the stop gets an answer`() =
        test {
            val opened = List(8) { Socket(LoopbackEntryVm.HOST, entryVm.firstPort).apply { soTimeout = 10_000 } }
            val context = entryVm.vertx.orCreateContext
            coroutineScope {
                val stop = async { drain() }
                // Refusing begins when the drain has gone on for as long as requests are accepted.
                entryVm.waitUntil { withContext(context.dispatcher()) { entryVm.node.gateway.isRefusing } }
                val fresh = List(8) { Socket(LoopbackEntryVm.HOST, entryVm.firstPort).apply { soTimeout = 10_000 } }
                val answers = fresh.map { async(Dispatchers.IO) { firstLine(it) } }.awaitAll()
                answers.forEach { (it == "HTTP/1.1 503 Service Unavailable" || it == "HTTP/1.1 200 OK") shouldBe true }
                stop.await()
            }
            opened.forEach { it.close() }
        }

    /** Guards against requests that are accepted late in the grace period and cut off at its end, while their targets run them. */
    @Test
    fun `every request that is sent late in the grace period and runs has its answer when the process may exit`() {
        targets = targets(executionMilliseconds = 2700)
        test(timeout = "10s") {
            val answered = ConcurrentHashMap.newKeySet<String>()

            suspend fun upload(id: String) {
                entryVm.statusOf("/upload/x", HttpMethod.POST, "photo", id, deadlineMilliseconds = 4000)
                answered += id
            }
            // A kept connection, so that the entry VM does not stop before the first request.
            val kept = Socket(LoopbackEntryVm.HOST, entryVm.firstPort)
            kept.getOutputStream().write("GET /none/ HTTP/1.1\r\nHost: shop.example\r\n\r\n".encodeToByteArray())
            kept.getInputStream().read()
            val callers =
                CoroutineScope(Dispatchers.Default).launch {
                    delay(1.5.seconds)
                    launch { upload("early") }
                    delay(1.5.seconds)
                    repeat(15) { number ->
                        launch { upload("late-$number") }
                        delay(100)
                    }
                }
            drain()
            callers.cancel()
            val executed = targets.flatMap { target -> target.executed.map { it.id } }
            (executed - answered).shouldBeEmpty()
            ("early" in answered) shouldBe true
            kept.close()
        }
    }

    /** Guards against requests that arrive between the last look at the open connections and the exit, and are cut off while they run. */
    @Test
    fun `a request that arrives after the stop has ended is not run`() =
        test {
            drain()
            val status = entryVm.statusOf("/unsafe/x", HttpMethod.POST, "order", "after")
            targets.flatMap { target -> target.executed.map { it.id } }.shouldBeEmpty()
            (status == null || status == 503) shouldBe true
        }

    /** Guards against answers that lose their end in a planned stop, since they are passed on while they arrive. */
    @Test
    fun `a large answer is complete whether the stop begins before its head or after it`() {
        targets.forEach { target -> target.responseBody = { "x".repeat(LARGE_BODY_BYTES) } }
        test {
            // The caller reads the first byte only, so that the rest is under way when the stop begins.
            val begun = Socket(LoopbackEntryVm.HOST, entryVm.firstPort).apply { soTimeout = 10_000 }
            begun.getOutputStream().write("GET /safe/begun HTTP/1.1\r\nHost: shop.example\r\n\r\n".encodeToByteArray())
            begun.getInputStream().read()
            coroutineScope {
                val stop = async { drain() }
                entryVm.waitUntil { !entryVm.node.gateway.isReady }
                val answer = entryVm.call("/unsafe/x", HttpMethod.POST, "order")
                answer.body().length() shouldBe LARGE_BODY_BYTES
                answer.getHeader("Connection") shouldBe "close"
                val rest = begun.use { it.getInputStream().readAllBytes().decodeToString() }
                rest.takeLast(LAST_CHUNK.length) shouldBe LAST_CHUNK
                rest.count { it == 'x' } shouldBeGreaterThanOrEqual LARGE_BODY_BYTES
                stop.await()
            }
        }
    }

    private fun firstLine(socket: Socket): String? =
        socket.use {
            it.getOutputStream().write("GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n\r\n".encodeToByteArray())
            it.getInputStream().bufferedReader().readLine()
        }

    private companion object {
        /** More than sockets buffer and an entry VM keeps of one answer. */
        const val LARGE_BODY_BYTES = 12_000_000

        const val LAST_CHUNK = "\r\n0\r\n\r\n"
    }
}
