package dev.goldcrestquay.callers

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CallerTableTest {
    private var now = Duration.ZERO
    private val closed = mutableListOf<Pair<String, TurnAwayReason>>()
    private val table =
        CallerTable<String>(CallerLimits(HEAD_BYTES, bodyBytes = 0, connections = 3), { now }) { name, reason -> closed += name to reason }

    private fun add(vararg names: String) = names.forEach { table.add(it) }

    private fun begin(
        name: String,
        isComplete: Boolean = true,
    ) {
        table.holdHead(name, bytes = 100, lines = 2)
        table.beginRequest(name)
        if (isComplete) table.endBody(name)
    }

    @Test
    fun `a new connection takes the place of the one without progress the longest`() {
        add("a", "b", "c")
        table.recordProgress("a")
        add("d")
        closed shouldContainExactly listOf("b" to TurnAwayReason.CONNECTIONS)
        table.size shouldBe 3
    }

    @Test
    fun `a connection whose request waits for its response keeps its place, one whose body has not ended does not`() {
        add("a", "b", "c")
        begin("a")
        begin("b", isComplete = false)
        begin("c")
        add("d")
        begin("d")
        add("e")
        closed shouldContainExactly listOf("b" to TurnAwayReason.CONNECTIONS, "e" to TurnAwayReason.CONNECTIONS)
        table.endRequest("a")
        add("f")
        closed.last() shouldBe ("a" to TurnAwayReason.CONNECTIONS)
    }

    @Test
    fun `a complete request before one whose body has not ended keeps their connection`() {
        add("a", "b", "c")
        listOf("b", "c").forEach(::begin)
        begin("a")
        begin("a", isComplete = false)
        add("d")
        closed shouldContainExactly listOf("d" to TurnAwayReason.CONNECTIONS)
    }

    /** Their memory was counted until the connection had no request left, so it kept out all other callers in the end. */
    @Test
    fun `the heads of answered requests are released on a connection that always has another request`() {
        add("pipelining", "other")
        begin("pipelining")
        repeat(1_000) {
            begin("pipelining")
            table.endRequest("pipelining")
        }
        begin("other")
        closed.shouldBeEmpty()
        table.headBytes shouldBeLessThanOrEqual 4 * (3 * 100 + 2 * 300L)
        listOf("pipelining", "other").forEach { table.endRequest(it) }
        table.headBytes shouldBe 2 * 2 * 100
    }

    @Test
    fun `the head of a request that is answered early is released once its body has ended`() {
        add("a")
        begin("a", isComplete = false)
        table.endRequest("a")
        table.headBytes shouldBe 3 * 100 + 2 * 300L
        table.endBody("a")
        table.headBytes shouldBe 2 * 100
    }

    @Test
    fun `the largest incomplete heads give way when heads need too much memory`() {
        add("large", "waiting", "small")
        table.holdHead("waiting", bytes = 10_000, lines = 5)
        table.beginRequest("waiting")
        table.endBody("waiting")
        table.holdHead("small", bytes = 400, lines = 8)
        repeat(100) { table.holdHead("large", bytes = 1_000, lines = 1) }
        closed shouldContainExactly listOf("large" to TurnAwayReason.HEAD_MEMORY)
        table.remove("large")
        table.headBytes shouldBeLessThanOrEqual HEAD_BYTES
    }

    @Test
    fun `what a closed connection holds counts until it is removed, and only small heads grow meanwhile`() {
        add("large", "next", "small")
        table.holdHead("next", bytes = 5_000, lines = 1)
        repeat(40) { table.holdHead("large", bytes = 1_000, lines = 1) }
        table.holdHead("small", bytes = 400, lines = 8)
        table.holdHead("next", bytes = 1_000, lines = 1)
        closed shouldContainExactly listOf("large" to TurnAwayReason.HEAD_MEMORY, "next" to TurnAwayReason.HEAD_MEMORY)
        listOf("large", "next", "small").forEach { table.remove(it) }
        table.headBytes shouldBe 0
    }

    @Test
    fun `many short lines count by their objects`() {
        add("lines", "bytes")
        table.holdHead("bytes", bytes = 1_024, lines = 1)
        val bytes = table.headBytes
        table.holdHead("lines", bytes = 1_024, lines = 256)
        table.headBytes - bytes shouldBeInRange 256L * 240..256L * 400
    }

    @Test
    fun `the memory of a head is free after the response, but for the buffer of its lines`() {
        add("a")
        repeat(3) {
            begin("a")
            table.endRequest("a")
        }
        table.headBytes shouldBe 200
        table.remove("a")
        table.headBytes shouldBe 0
    }

    @Test
    fun `an early response frees the memory once the body has ended`() {
        add("a")
        begin("a", isComplete = false)
        table.endRequest("a")
        table.endBody("a")
        table.headBytes shouldBe 200
    }

    @Test
    fun `a head that takes longer than its limit is closed at the second look, whatever its progress`() {
        add("a", "b")
        table.holdHead("a", bytes = 10, lines = 1)
        now += 4.seconds
        table.closeSlow(headerTimeout = 3.seconds, idleTimeout = 15.seconds)
        closed.shouldBeEmpty()
        table.closeSlow(headerTimeout = 3.seconds, idleTimeout = 15.seconds)
        closed shouldContainExactly listOf("a" to TurnAwayReason.SLOW)
    }

    @Test
    fun `a body without progress is closed after the idle time, a waiting or an idle connection is not`() {
        add("body", "waiting", "idle")
        begin("body", isComplete = false)
        begin("waiting")
        now += 14.seconds
        repeat(2) { table.closeSlow(headerTimeout = 3.seconds, idleTimeout = 15.seconds) }
        closed.shouldBeEmpty()
        now += 2.seconds
        repeat(2) { table.closeSlow(headerTimeout = 3.seconds, idleTimeout = 15.seconds) }
        closed shouldContainExactly listOf("body" to TurnAwayReason.SLOW)
    }

    @Test
    fun `a body whose bytes were only read late is not closed`() {
        add("body")
        begin("body", isComplete = false)
        now += 20.seconds
        table.closeSlow(headerTimeout = 3.seconds, idleTimeout = 15.seconds)
        table.recordProgress("body")
        now += 500.milliseconds
        table.closeSlow(headerTimeout = 3.seconds, idleTimeout = 15.seconds)
        closed.shouldBeEmpty()
    }

    @Test
    fun `limits follow the heap and the machine, and what operators do not state bounds nothing`() {
        val heap = 112L * 1_048_576
        val small = CallerLimits.of(heap, MachineLimits(memoryBytes = 330_000_000, descriptors = 4_100))
        small.connections shouldBe 2_925
        small.bodyBytes shouldBeInRange 68_000_000L..330_000_000 - heap
        CallerLimits.of(heap, MachineLimits(memoryBytes = 200_000_000)).bodyBytes shouldBe 8_388_608
        CallerLimits.of(heap, MachineLimits()).connections shouldBe Int.MAX_VALUE
    }

    private companion object {
        const val HEAD_BYTES = 100_000L
    }
}
