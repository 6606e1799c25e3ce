package dev.goldcrestquay.usage

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random

@OptIn(ExperimentalCoroutinesApi::class)
class UsageDutyTest {
    private fun TestScope.fleet(
        count: Int = 3,
        isFenced: Boolean = true,
    ): SimulatedUsageFleet =
        SimulatedUsageFleet(this, Random(7), isFenced, count).also { fleet ->
            fleet.vms.forEach { it.ahead = 0 }
            fleet.vms.forEach { it.start() }
            fleet.lead(fleet.vms.first())
        }

    private fun SimulatedUsageFleet.windowsSent() = api.accepted.map { it.second.window - windowAt(0) }

    /** The first report of each window came before it was due. */
    private fun SimulatedUsageFleet.shouldBeToldInTime() =
        api.accepted.distinctBy { it.second.window }.forEach { (at, call) ->
            val end = settings.startOf(call.window + 1) - SimulatedUsageFleet.START
            withClue(call) { at - end shouldBeLessThanOrEqualTo settings.dueAfter.inWholeMilliseconds }
        }

    @Test
    fun `a refused token is not used again, and the report that it was refused for comes unchanged under a new one`() =
        runTest {
            val fleet = fleet()
            fleet.api.highest = 2
            delay(25_000)
            fleet.reusedTokens.shouldBeEmpty()
            val (refused, repeated) =
                fleet.api.arrivals
                    .take(2)
                    .map { it.call }
            refused.token shouldBe 1
            repeated.token shouldBeGreaterThan 2
            repeated.copy(token = 1) shouldBe refused
        }

    @Test
    fun `a call without an answer is repeated unchanged, though later runs were counted`() =
        runTest {
            val fleet = fleet()
            fleet.api.trouble = { if (fleet.api.arrivals.size <= 2) Trouble.ANSWER_LOST else Trouble.NONE }
            delay(30_000)
            val first =
                fleet.api.arrivals
                    .filter { it.call.window == fleet.windowAt(0) }
                    .map { it.call }
            first shouldHaveSize 3
            first.distinct() shouldHaveSize 1
            fleet.misses(fleet.windowAt(0), fleet.windowAt(30_000) - 2).shouldBeEmpty()
        }

    @Test
    fun `calls over the platform's limit, and a slow platform, are made up for in time`() =
        runTest {
            val fleet = fleet()
            var asked = 0
            fleet.api.throttles = { asked++ % 3 != 0 }
            fleet.api.trouble = { Trouble.SLOW }
            delay(40_000)
            fleet.misses(fleet.windowAt(0), fleet.windowAt(40_000) - 3).shouldBeEmpty()
        }

    @Test
    fun `the windows of a holder that dies are told in time by the next one, under a higher token`() =
        runTest {
            val fleet = fleet()
            delay(17_900)
            fleet.vms[0].job.cancel()
            delay(1_500)
            fleet.lead(fleet.vms[1])
            delay(30_000)
            fleet.windowsSent().distinct() shouldContainExactly (0L..8L).toList()
            fleet.shouldBeToldInTime()
            fleet.api.arrivals
                .map { it.call.token }
                .distinct() shouldHaveSize 2
        }

    @Test
    fun `a holder that was frozen past its lease sends nothing once another has claimed`() =
        runTest {
            val fleet = fleet(isFenced = false)
            fleet.api.trouble = { if (testScheduler.currentTime < 13_600) Trouble.REFUSED else Trouble.NONE }
            delay(13_500)
            fleet.vms[0].eventLoop.isPaused = true
            fleet.lead(fleet.vms[1])
            delay(4_000)
            fleet.vms[0].thaw()
            delay(1_000)
            fleet.lead(fleet.vms[1])
            delay(9_000)
            fleet.api.arrivals
                .filter { it.at > 13_500 }
                .map { it.call.holder }
                .distinct() shouldContainExactly listOf("vm-2")
            fleet.windowsSent() shouldContain 1
        }

    @Test
    fun `when all were killed, windows that were written are told and the others are logged as lost`() =
        runTest {
            val fleet = fleet()
            fleet.api.trouble = { if (testScheduler.currentTime < 13_500) Trouble.REFUSED else Trouble.NONE }
            delay(13_500)
            fleet.vms.forEach { it.job.cancel() }
            delay(1_000)
            fleet.vms.forEach { it.start() }
            fleet.lead(fleet.vms[2])
            delay(20_000)
            fleet.windowsSent() shouldContain 1
            fleet.windowsSent() shouldNotContain 2
            val lost = fleet.events.filterIsInstance<UsageEvent.WindowsLost>().single()
            (lost.from..lost.through).map { it - fleet.windowAt(0) } shouldContainExactly listOf(2L)
            fleet.misses(fleet.windowAt(0) + 3, fleet.windowAt(0) + 4).shouldBeEmpty()
        }

    @Test
    fun `a record that can't be read closes the windows that it may be about, and no others`() =
        runTest {
            val fleet = fleet()
            delay(17_000)
            fleet.store.write("window/2", "{")
            delay(20_000)
            fleet.events.filterIsInstance<UsageEvent.RecordUnreadable>() shouldHaveSize 1
            val lost = fleet.events.filterIsInstance<UsageEvent.WindowsLost>().single()
            (lost.from..lost.through).map { it - fleet.windowAt(0) } shouldContainExactly listOf(2L, 3L)
            fleet.windowsSent() shouldContainExactly listOf(0L, 1L, 4L, 5L)
        }

    @ParameterizedTest
    @CsvSource("true, 2", "false, 2", "false, 5")
    fun `after the store was restored no window is told anew`(
        holderDies: Boolean,
        lostRecords: Int,
    ): Unit =
        runTest {
            val fleet = fleet(isFenced = false)
            delay(24_000)
            val late = ProcessUsage("vm-9/1", fleet.windowAt(16_000), mapOf("org-0" to 7L))
            fleet.vms.forEach { it.feed.merge(listOf(late)) }
            fleet.store.restore(size = fleet.store.size - lostRecords)
            if (holderDies) {
                fleet.vms[0].job.cancel()
                fleet.lead(fleet.vms[1])
            }
            delay(30_000)
            fleet.api.faults(fleet.settings.leaseTime.inWholeMilliseconds).shouldBeEmpty()
            fleet.windowsSent().last() shouldBe 9
        }

    @Test
    fun `a holder whose record fits the end of a restored store by chance leaves the duty to whoever claimed it there`() =
        runTest {
            val fleet = fleet(isFenced = false)
            delay(24_000)
            fleet.store.restore(size = fleet.store.size - 1)
            val (key, value) = UsageLedger.encode(UsageClaim((1L shl 32) + fleet.store.size + 1, "vm-9/1"))
            fleet.store.write(key, value)
            delay(7_000)
            fleet.api.arrivals
                .filter { it.at > 24_000 }
                .shouldBeEmpty()
        }

    @Test
    fun `a store link that ends a call as if it were cancelled does not end the duty`() =
        runTest {
            val fleet = fleet()
            fleet.store.trouble = {
                if (testScheduler.currentTime in 10_000..14_000) throw CancellationException("connection closed") else Trouble.NONE
            }
            delay(40_000)
            fleet.misses(fleet.windowAt(0), fleet.windowAt(40_000) - 3).shouldBeEmpty()
        }

    @Test
    fun `a holder that did not lead for a moment, in which another claimed, tells all windows in time once it leads again`() =
        runTest {
            val fleet = fleet()
            delay(17_000)
            fleet.lead(fleet.vms[1])
            delay(4_000)
            fleet.lead(fleet.vms[0])
            delay(30_000)
            fleet.windowsSent().distinct() shouldContainExactly (0L..8L).toList()
            fleet.shouldBeToldInTime()
        }

    @Test
    fun `a former holder that leads again after the store forgot its history logs no windows as lost that were told`() =
        runTest {
            val fleet = fleet()
            delay(7_000)
            fleet.lead(fleet.vms[1])
            delay(20_000)
            fleet.lead(fleet.vms[0])
            delay(70_000)
            fleet.lead(fleet.vms[1])
            delay(60_000)
            fleet.store.forgetHistory()
            fleet.lead(fleet.vms[0])
            delay(30_000)
            fleet.events.filterIsInstance<UsageEvent.WindowsLost>().shouldBeEmpty()
            fleet.windowsSent().distinct() shouldContainExactly (0L..35L).toList()
        }
}
