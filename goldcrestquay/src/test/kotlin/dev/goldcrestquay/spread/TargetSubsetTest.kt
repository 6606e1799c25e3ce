package dev.goldcrestquay.spread

import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.routePlan
import dev.goldcrestquay.routing.LoadSample
import dev.goldcrestquay.routing.ProbeBudget
import dev.goldcrestquay.routing.ProbeResult
import dev.goldcrestquay.routing.TargetCandidate
import dev.goldcrestquay.routing.TargetHealth
import dev.goldcrestquay.routing.TargetNotices
import dev.goldcrestquay.routing.TargetSampler
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

@OptIn(ExperimentalCoroutinesApi::class)
class TargetSubsetTest {
    private val members = List(39) { "vm-$it" }
    private val targets = List(27) { "t$it" }

    private fun pairs(
        members: List<String>,
        targets: List<String>,
    ) = members.flatMap { vm -> targets.filter(TargetSubset(vm) { members }.preferred(targets.size)).map { vm to it } }.toSet()

    @Test
    fun `each target is preferred by equally many members, and changes move few preferences`() {
        val pairs = pairs(members, targets)
        pairs
            .groupingBy { it.second }
            .eachCount()
            .values
            .toSet() shouldBe setOf(12)
        targets.size shouldBe pairs.map { it.second }.toSet().size
        // The member that left had 12 at most of each 39 preferences; each goes to one other member.
        val without = pairs(members - "vm-3", targets)
        (pairs - without).count { it.first != "vm-3" } shouldBe 0
        val joined = pairs(members, targets + "t27")
        (joined - pairs).all { it.second == "t27" } shouldBe true
        joined.count { it.second == "t27" } shouldBeGreaterThan 8
    }

    @Test
    fun `a choice reads the members only when their list is another one`() {
        var reads = 0
        val known =
            object : AbstractList<String>() {
                override val size get() = members.size

                override fun get(index: Int) = members[index].also { reads++ }
            }
        val subset = TargetSubset("vm-1") { known }
        targets.filter(subset.preferred(27)) shouldBe targets.filter(TargetSubset("vm-1") { members }.preferred(27))
        reads = 0
        repeat(100) { targets.count(subset.preferred(27)) }
        reads shouldBe 0
    }

    @Test
    fun `nothing is preferred while the members are not known`() {
        targets.any(TargetSubset("vm-1") { emptyList() }.preferred(27)) shouldBe false
        targets.any(TargetSubset("vm-99") { members }.preferred(27)) shouldBe false
    }

    @Test
    fun `an entry VM follows the member list, and goes beyond its subset at once`() =
        runTest {
            var known = members
            val subset = TargetSubset("vm-1") { known }
            targets.filter(subset.preferred(27))
            known = members.take(5)
            targets.filter(subset.preferred(27)) shouldBe targets.filter(TargetSubset("vm-1") { members.take(5) }.preferred(27))

            val probed = mutableListOf<String>()
            val clock = { currentTime.milliseconds }
            val candidates =
                targets.map { TargetCandidate(registeredTarget(it), TargetHealth(clock), true, false, TargetNotices(clock)) }
            val sampler =
                TargetSampler<String>(clock, Random(1), backgroundScope, ProbeBudget({ 60.0 }, clock) { 1 }, probe = { target, _ ->
                    probed += target.id
                    ProbeResult(LoadSample(0, 0, 4, 1.0, true), target.id)
                }, release = { }, preferred = { { it in targets.take(4) } })
            sampler.choose(candidates, routePlan().services.single(), 0)
            probed.toSet() shouldBe targets.take(4).toSet()
            candidates.take(3).forEach { it.health.recordFailure(it.health.recordSend(139.milliseconds)) }
            probed.clear()
            sampler.choose(candidates, routePlan().services.single(), 0)
            probed.count { it in targets.take(3) } shouldBe 0
            probed.size shouldBe 4
        }

    private class Fleet(
        val connections: Int,
        val factors: List<Double>,
        val probes: Int,
    ) {
        val p99 get() = factors.sorted()[factors.size * 99 / 100]
    }

    /** The load of one data centre of 39 entry VMs that send 30 requests of 139 ms each to 27 targets with 3 slots, [interval] apart. */
    private suspend fun TestScope.play(
        preferring: Boolean,
        interval: Int,
    ): Fleet {
        val random = Random(5)
        val clock = { currentTime.milliseconds }
        val running = HashMap<String, Int>()
        val opened = HashSet<Pair<String, String>>()
        val factors = mutableListOf<Double>()
        var probes = 0
        val service = routePlan().services.single()
        members
            .map { vm ->
                val subset = TargetSubset(vm) { if (preferring) members else emptyList() }
                val candidates =
                    targets.map {
                        TargetCandidate(registeredTarget(it).copy(slots = 3), TargetHealth(clock), true, false, TargetNotices(clock))
                    }
                val budget = ProbeBudget({ 42.0 }, clock) { members.size }
                val sampler =
                    TargetSampler<String>(clock, Random(vm.hashCode()), backgroundScope, budget, probe = { target, _ ->
                        probes++
                        opened += vm to target.id
                        delay(1)
                        ProbeResult(LoadSample(running[target.id] ?: 0, 0, 3, 1.0, true), vm)
                    }, release = { }, preferred = subset::preferred)
                launch {
                    repeat(30) {
                        delay((2 * random.nextDouble() * interval).toLong())
                        launch {
                            val chosen = sampler.choose(candidates, service, 0)
                            val id = chosen.candidate.target.id
                            factors += LoadSample(running[id] ?: 0, 0, 3, 1.0, true).expectedFactor()
                            running.merge(id, 1, Int::plus)
                            delay(139)
                            running.merge(id, -1, Int::plus)
                        }
                    }
                }
            }.forEach { it.join() }
        return Fleet(opened.size, factors, probes)
    }

    @Test
    fun `a fleet that prefers subsets opens connections to few targets, and chooses as well`() =
        runTest {
            // On a usual day, and in a burst that takes 7 of 10 slots.
            listOf(333, 95).forEach { interval ->
                val plain = play(preferring = false, interval)
                val preferring = play(preferring = true, interval)
                preferring.connections * 2 shouldBeLessThanOrEqual plain.connections
                preferring.p99 shouldBeLessThanOrEqual plain.p99
            }
        }
}
