package dev.goldcrestquay.routing

import dev.goldcrestquay.machine.SocketAddress
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class CrashTableTest {
    private var now = 10.seconds
    private val table = CrashTable { now }
    private val peer = SocketAddress("10.0.0.1", 9000)
    private val otherPeer = SocketAddress("10.0.0.2", 9000)

    private fun CrashTable.crashInARow(times: Int) = repeat(times) { recordCrash(REQUEST, crashes(REQUEST)) }

    @Test
    fun `the third crash in a row blocks a request for five minutes`() {
        table.crashInARow(2)
        table.blockedFor(REQUEST) shouldBe null
        table.crashInARow(1)
        table.blockedFor(REQUEST) shouldBe 5.minutes
        now += 5.minutes
        table.blockedFor(REQUEST) shouldBe null
        table.expire()
        table.isEmpty shouldBe true
    }

    @Test
    fun `crashes of requests that were sent before the last known one are one crash`() {
        repeat(5) { table.recordCrash(REQUEST, crashesBefore = 0) }
        table.crashes(REQUEST) shouldBe 1
    }

    @Test
    fun `an answer clears a request and a crash from before it does not count`() {
        table.crashInARow(2)
        table.recordAnswer(REQUEST)
        table.recordCrash(REQUEST, crashesBefore = 2)
        table.crashes(REQUEST) shouldBe 0
    }

    /** Reports of several entry VMs arrive in any order and more than once. */
    @Test
    fun `of two suspicions the one after an answer holds, then the one with more crashes`() {
        fun suspicion(
            crashes: Int,
            clearances: Int,
        ) = CrashSuspicion(REQUEST, crashes, clearances, 0)
        table.merge(listOf(suspicion(2, 0)), peer) shouldBe true
        table.merge(listOf(suspicion(1, 0), suspicion(2, 0)), otherPeer) shouldBe false
        table.merge(listOf(suspicion(0, 1)), otherPeer) shouldBe true
        table.merge(listOf(suspicion(3, 0)), peer) shouldBe false
        table.merge(listOf(suspicion(3, 1)), peer) shouldBe true
        table.blockedFor(REQUEST) shouldBe 5.minutes
    }

    @Test
    fun `a suspicion does not outlive five minutes by being passed on`() {
        table.merge(listOf(CrashSuspicion(REQUEST, 3, 0, ageMilliseconds = 240_000)), peer)
        table.blockedFor(REQUEST) shouldBe 1.minutes
        table.merge(listOf(CrashSuspicion(OTHER_REQUEST, 3, 0, ageMilliseconds = 300_000)), peer) shouldBe false
    }

    @Test
    fun `peers get what changed, except what they sent`() {
        table.merge(listOf(CrashSuspicion(REQUEST, 1, 0, 0)), peer)
        table.changesAfter(0, peer).shouldBeEmpty()
        table.changesAfter(0, otherPeer) shouldHaveSize 1
        table.changesAfter(table.version, otherPeer).shouldBeEmpty()
        table.crashInARow(1)
        table.changesAfter(0, peer).map { it.crashes } shouldBe listOf(2)
    }

    @Test
    fun `the oldest suspicion is dropped when there are too many`() {
        repeat(600) { table.recordCrash(it.toLong(), crashesBefore = 0) }
        table.changesAfter(0) shouldHaveSize 512
        table.crashes(0) shouldBe 0
        table.crashes(599) shouldBe 1
    }

    private companion object {
        const val REQUEST = 1L
        const val OTHER_REQUEST = 2L
    }
}
