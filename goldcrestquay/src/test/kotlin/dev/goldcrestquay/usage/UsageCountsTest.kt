package dev.goldcrestquay.usage

import dev.goldcrestquay.machine.SocketAddress
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How counts are kept, passed on and put into windows; the wall clock is ahead of the runtime's by [START]. */
class UsageCountsTest {
    private var now = Duration.ZERO
    private var jump = Duration.ZERO
    private val settings = UsageSettings(5.seconds, 10.seconds, 3.seconds, callsPerSecond = 50.0)
    private val jumps = mutableListOf<Duration>()
    private val time = TrueTime({ now }, { START + (now + jump).inWholeMilliseconds }) { jumps += it }
    private val window = settings.windowAt(START)
    private val leader = SocketAddress("10.0.0.1", 9000)

    private fun counts(process: String = "a/1") = UsageCounts(process, settings, time)

    @Test
    fun `a request counts in the window that it was sent in, even if it is recorded later`() {
        val counts = counts()
        now = 12.seconds
        counts.record("x", 4.seconds)
        counts.record("x", 5.seconds)
        counts.record("x", 9.seconds)
        counts.totals(window) shouldBe mapOf("x" to 1L)
        counts.totals(window + 1) shouldBe mapOf("x" to 2L)
    }

    @Test
    fun `repeated and overtaken messages count once, and processes that ended count still`() {
        val counts = counts()
        val earlier = ProcessUsage("b/1", window, mapOf("x" to 2L))
        val later = ProcessUsage("b/1", window, mapOf("x" to 5L, "y" to 1L))
        counts.merge(listOf(later, earlier, later, ProcessUsage("b/2", window, mapOf("x" to 1L))))
        counts.totals(window) shouldBe mapOf("x" to 6L, "y" to 1L)
    }

    @Test
    fun `what is too old or far in the future is left out`() {
        val counts = counts()
        now = 60.seconds
        counts.merge(listOf(window, window + 14, window + 12).map { ProcessUsage("b/1", it, mapOf("x" to 1L)) })
        counts.record("x", Duration.ZERO)
        counts.changesAfter(0) { true }.map { it.window } shouldContainExactly listOf(window + 12)
    }

    @Test
    fun `old windows are let go also where nobody is told of them, as at a leader without an arbiter`() {
        val counts = counts()
        repeat(100) {
            counts.record("x", now)
            counts.merge(listOf(ProcessUsage("b/1", window + it, mapOf("x" to 1L))))
            now += 5.seconds
        }
        (0L..<100).count { counts.processCount(window + it) > 0 } shouldBe UsageSettings.RETAINED_WINDOWS
    }

    @Test
    fun `a peer is told what changed since it answered last, once a second, and everything once it has restarted`() {
        val counts = counts()
        val feed = UsageFeed(counts) { now }
        counts.record("x", now)
        feed.reportTo(leader, ownOnly = false).shouldNotBeNull()
        feed.reportTo(leader, ownOnly = false).shouldBeNull()
        now += 1.seconds
        counts.record("y", now)
        val repeated = feed.reportTo(leader, ownOnly = false).shouldNotBeNull()
        repeated.usage.single().counts shouldBe mapOf("x" to 1L, "y" to 1L)
        feed.recordDelivery(leader, "l/1", repeated)
        now += 1.seconds
        feed.reportTo(leader, ownOnly = false).shouldBeNull()
        counts.record("y", now)
        val change = feed.reportTo(leader, ownOnly = false).shouldNotBeNull()
        change.usage.single().counts shouldBe mapOf("y" to 2L)
        feed.recordDelivery(leader, "l/2", change)
        now += 1.seconds
        feed
            .reportTo(leader, ownOnly = false)
            ?.usage
            ?.single()
            ?.counts shouldBe mapOf("x" to 1L, "y" to 2L)
    }

    @Test
    fun `a leader tells its own counts only, and nobody is told their own`() {
        val counts = counts()
        counts.record("x", now)
        counts.merge(listOf("b/1", "c/1").map { ProcessUsage(it, window, mapOf("x" to 1L)) })
        val feed = UsageFeed(counts) { now }
        feed.reportTo(leader, ownOnly = true)?.usage?.map { it.process } shouldBe listOf("a/1")
        feed.flush()
        val all = feed.reportTo(leader, ownOnly = false).shouldNotBeNull()
        all.usage.map { it.process }.sorted() shouldBe listOf("a/1", "b/1", "c/1")
        feed.recordDelivery(leader, "b/1", all)
        feed.flush()
        counts.merge(listOf("b/1", "c/1").map { ProcessUsage(it, window, mapOf("x" to 2L)) })
        feed.reportTo(leader, ownOnly = false)?.usage?.map { it.process } shouldBe listOf("c/1")
    }

    @Test
    fun `small corrections of the clock are followed, short jumps are not, and lasting ones after ten seconds`() {
        jump = 80.milliseconds
        time.now() shouldBe START + 80
        jump = 3.seconds
        time.now() shouldBe START + 80
        now = 9.seconds
        time.now() shouldBe START + 9_080
        jump = 80.milliseconds
        now = 15.seconds
        time.now() shouldBe START + 15_080
        jump = (-1).hours
        time.now() shouldBe START + 15_080
        now = 25.seconds
        time.now() shouldBe START + 25_000 - 3_600_000
        jumps shouldContainExactly listOf((-1).hours - 80.milliseconds)
    }

    private companion object {
        /** A window starts then. */
        const val START = 1_767_225_600_000L
    }
}
