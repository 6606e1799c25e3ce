package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.WeightedService
import dev.goldcrestquay.plannedRoute
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SharedLimitsTest {
    private var now = Duration.ZERO

    @Test
    fun `retries of all entry VMs together stay within the budget in every sliding window`() {
        val random = Random(5)
        val members = 13
        val budgets = List(members) { FleetRetryBudget({ RetryLimits(0.2, 56.0, 10.seconds) }, { now }) { members } }
        val requests = mutableListOf<Duration>()
        val retries = mutableListOf<Duration>()
        repeat(6000) {
            now += 5.milliseconds
            val budget = budgets.random(random)
            budget.recordRequest("shop")
            requests += now
            if (budget.tryTake("shop")) retries += now
            val window = now - 10.seconds
            retries.count { it > window } shouldBeLessThanOrEqual (requests.count { it > window } * 0.2 + 56).toInt()
        }
        retries.size shouldBeGreaterThan 500
    }

    @Test
    fun `the rate of requests to a cold target stays bounded while entry VMs disagree about the members`() {
        val names = (1..13).map { "vm-$it" }
        val limiters =
            names.mapIndexed { index, name ->
                val knownMembers = if (index < 7) names.take(7) else names.drop(4)
                ColdTargetLimiter(name, { now }) { knownMembers }
            }
        val sentAt = mutableListOf<Duration>()
        repeat(10_000) {
            now += 1.milliseconds
            limiters.forEach { limiter ->
                if (limiter.allows("target", 7.0)) {
                    limiter.recordSend("target", 7.0)
                    sentAt += now
                }
            }
            sentAt.count { it > now - 1.seconds } shouldBeLessThanOrEqual (7.0 * 1.5 + 5).toInt()
        }
        sentAt.size shouldBeGreaterThan 30
    }

    private class CountingList(
        private val names: List<String>,
    ) : AbstractList<String>() {
        var reads = 0

        override val size get() = names.size

        override fun get(index: Int): String = names[index].also { reads++ }
    }

    /** The load pattern of a release: hundreds of placements a second, each of which asks for every cold target. */
    @Test
    fun `a placement among many cold targets does not rank all entry VMs for each of them`() {
        val names = CountingList((1..95).map { "vm-$it" })
        val limiter = ColdTargetLimiter("vm-1", { now }) { names }
        repeat(300) { (1..60).forEach { target -> limiter.allows("target-$target", 7.0) } }
        names.reads shouldBeLessThanOrEqual 60 * 95 * 2
    }

    /** Every entry VM sends as often as it may; those of two halves know different members. */
    @Test
    fun `the limit that a target names holds for all entry VMs together, while they disagree about the members too`() {
        for (limit in listOf(0.3, 1.0, 6.0, 25.0, 120.0)) {
            for (known in listOf(listOf(1..19, 1..19), listOf(1..12, 6..19))) {
                val entryVms =
                    (1..19).map { number ->
                        val members = (known[number % 2] + number).distinct().map { "vm-$it" }
                        RequestLimitShares("vm-$number") { members } to TargetHealth { now }.apply { recordRequestLimit(limit) }
                    }
                val sentAt = mutableListOf<Duration>()
                repeat(4_000) {
                    now += 10.milliseconds
                    entryVms.forEach { (shares, health) ->
                        if (health.isSpacedBy(shares.interval("target", limit))) {
                            health.recordSend(100.milliseconds)
                            sentAt += now
                        }
                    }
                }
                sentAt.indices.forEach { first ->
                    val window = sentAt.drop(first).takeWhile { it - sentAt[first] <= 4.seconds }
                    window.size shouldBeLessThanOrEqual (1.5 * 4 * limit + 5).toInt()
                }
                sentAt.size shouldBeGreaterThan (40 * limit / 2).toInt()
            }
        }
    }

    @Test
    fun `an entry VM that knows no members sends nothing to a target that names a limit`() {
        RequestLimitShares("vm-1") { emptyList() }.interval("target", 7.0) shouldBe Duration.INFINITE
    }

    @Test
    fun `an entry VM that knows no members sends nothing to a cold target`() {
        ColdTargetLimiter("vm-1", { now }) { emptyList() }.allows("target", 7.0) shouldBe false
    }

    @Test
    fun `splits follow their weights to within one request`() {
        val route = plannedRoute(destinations = listOf(WeightedService("a", 90.0), WeightedService("b", 10.0)))
        val chooser = SplitChooser(Random(1))
        val chosen = List(100) { chooser.choose(route) }
        (chosen.count { it == "b" } in 9..11) shouldBe true
    }
}
