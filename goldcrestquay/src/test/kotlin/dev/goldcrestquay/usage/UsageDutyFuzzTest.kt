package dev.goldcrestquay.usage

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random

/** Random trouble, with seeds 1 to 40 or to the number given as -Dusage.seeds. */
@OptIn(ExperimentalCoroutinesApi::class)
class UsageDutyFuzzTest {
    private fun fuzz(
        seed: Long,
        isFenced: Boolean,
    ): Unit =
        runTest {
            val random = Random(seed)
            val fleet = SimulatedUsageFleet(this, random, isFenced)
            fleet.vms.forEach { it.start() }
            fleet.lead(fleet.vms.first())
            delay(CALM_MILLISECONDS)
            fleet.store.trouble = { troubleOf(random) }
            var apiFails = false
            fleet.api.trouble = { if (apiFails) Trouble.REFUSED else troubleOf(random) }
            fleet.api.throttles = { random.nextInt(10) == 0 }
            while (testScheduler.currentTime < CALM_MILLISECONDS + TROUBLE_MILLISECONDS) {
                delay(random.nextLong(200, 5_000))
                fleet.disturb()
                apiFails = random.nextInt(3) == 0
            }
            fleet.settle()
            val settledAt = testScheduler.currentTime
            delay(RECOVERY_MILLISECONDS + CALM_MILLISECONDS * 2)
            withClue("seed $seed, fenced $isFenced") {
                fleet.api.faults(fleet.settings.leaseTime.inWholeMilliseconds).shouldBeEmpty()
                fleet.reusedTokens.shouldBeEmpty()
                val last = fleet.windowAt(testScheduler.currentTime) - 3
                fleet.misses(fleet.windowAt(settledAt + RECOVERY_MILLISECONDS) + 1, last).shouldBeEmpty()
                val unexpected = fleet.events.filter { it is UsageEvent.DutyStepFailed && "Exception" in it.reason }
                unexpected.shouldBeEmpty()
            }
        }

    private fun troubleOf(random: Random): Trouble = if (random.nextInt(3) == 0) Trouble.entries.random(random) else Trouble.NONE

    @TestFactory
    fun `no window is told twice with different counts and no two holders take turns, whatever fails`(): List<DynamicTest> =
        (1..(System.getProperty("usage.seeds")?.toLong() ?: FIXED_SEEDS)).flatMap { seed ->
            listOf(true, false).map { isFenced -> dynamicTest("seed $seed, fenced $isFenced") { fuzz(seed, isFenced) } }
        }

    @Test
    fun `in calm all windows are told in time with the true counts, at one call to the store and one to the platform each`() =
        runTest {
            val fleet = SimulatedUsageFleet(this, Random(1), isFenced = true)
            fleet.vms.forEach { it.start() }
            fleet.lead(fleet.vms.first())
            delay(60_000)
            val windows = (fleet.windowAt(fleet.vms.minOf { it.ahead })..fleet.windowAt(60_000) - 2).toList()
            fleet.misses(windows.first(), windows.last()).shouldBeEmpty()
            fleet.api.arrivals.map { it.call.window } shouldBe windows
            val callsForTheClaim = 3
            fleet.store.calls shouldBe callsForTheClaim + windows.size
        }

    private companion object {
        const val FIXED_SEEDS = 40L
        const val CALM_MILLISECONDS = 15_000L
        const val TROUBLE_MILLISECONDS = 60_000L

        /** Clocks that were moved are believed after 10 s, then a new holder waits for the others to give up. */
        const val RECOVERY_MILLISECONDS = 45_000L
    }
}
