package dev.goldcrestquay.usage

import dev.goldcrestquay.machine.ExchangeRequest
import dev.goldcrestquay.machine.FakeFleet
import dev.goldcrestquay.machine.FakeStore
import dev.goldcrestquay.machine.Feed
import dev.goldcrestquay.machine.FleetMember
import dev.goldcrestquay.planRecord
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.string.shouldNotContain
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import java.util.TreeMap
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How counts reach the leader over the exchange between entry VMs. */
@OptIn(ExperimentalCoroutinesApi::class)
class UsageExchangeTest {
    private val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }
    private val settings = UsageSettings(5.seconds, 10.seconds, 3.seconds, callsPerSecond = 50.0)
    private val countsOf = HashMap<String, UsageCounts>()
    private val truth = HashMap<String, TreeMap<Long, TreeMap<String, Long>>>()

    private fun feed(
        member: FleetMember,
        scope: TestScope,
    ): UsageFeed {
        val clock = { scope.currentTime.milliseconds }
        val counts = UsageCounts("${member.name}/${member.incarnation}", settings, TrueTime(clock, { scope.currentTime }))
        countsOf[member.name] = counts
        return UsageFeed(counts, clock)
    }

    /** Has each entry VM count six requests a second of 76 organisations until [untilMilliseconds]. */
    private fun TestScope.work(
        fleet: FakeFleet,
        untilMilliseconds: Long,
    ) {
        val random = Random(3)
        fleet.running.toList().forEach { node ->
            val name = node.members.self.name
            backgroundScope.launch {
                while (currentTime < untilMilliseconds && node.job.isActive) {
                    delay(random.nextLong(332))
                    val organisation = "org-${random.nextInt(76)}"
                    countsOf.getValue(name).record(organisation, currentTime.milliseconds)
                    truth
                        .getOrPut(
                            name,
                        ) { TreeMap() }
                        .getOrPut(settings.windowAt(currentTime)) { TreeMap() }
                        .merge(organisation, 1, Long::plus)
                }
            }
        }
    }

    private fun trueTotals(
        window: Long,
        names: Set<String> = truth.keys,
    ): Map<String, Long> {
        val sums = TreeMap<String, Long>()
        names.forEach { name ->
            truth.getValue(name)[window]?.forEach { (organisation, count) -> sums.merge(organisation, count, Long::plus) }
        }
        return sums
    }

    @Test
    fun `the leader of 109 entry VMs has all counts of a window when they are written, for under 250 bytes a second each`() =
        runTest {
            val fleet = FakeFleet(this, store, dataCentres = 3, usage = { feed(it, this) })
            (1..109).forEach { fleet.start(it) }
            work(fleet, untilMilliseconds = 30_000)
            var bytes = 0L
            fleet.observe = { request -> bytes += request.encoded().length - request.copy(usage = emptyList()).encoded().length }
            for (window in 0L..4L) {
                delay(settings.startOf(window + 1) + settings.writeDelay.inWholeMilliseconds - currentTime)
                val leader = fleet.leaders.single()
                countsOf.getValue(leader.members.self.name).totals(window) shouldContainExactly trueTotals(window)
            }
            bytes * 1000 / currentTime / 109 shouldBeLessThan MAXIMUM_BYTES_PER_SECOND
        }

    @Test
    fun `a new leader is told again what the dead one knew of the others`() =
        runTest {
            val fleet = FakeFleet(this, store, usage = { feed(it, this) })
            (1..40).forEach { fleet.start(it) }
            work(fleet, untilMilliseconds = 9_900)
            delay(10.seconds)
            val dead = fleet.leaders.single()
            fleet.kill(dead)
            delay(settings.writeDelay + 1.seconds)
            val leader = fleet.leaders.single()
            val others = truth.keys - dead.members.self.name
            val known = countsOf.getValue(leader.members.self.name).totals(0)
            trueTotals(0, others).filter { (organisation, count) -> (known[organisation] ?: 0) < count }.keys.shouldBeEmpty()
        }

    @Test
    fun `where usage is not reported, messages are as before`() =
        runTest {
            val fleet = FakeFleet(this, store)
            (1..5).forEach { fleet.start(it) }
            fleet.observe = { it.encoded() shouldNotContain "usage" }
            delay(5.seconds)
        }

    private fun ExchangeRequest.encoded(): String = Json.encodeToString(ExchangeRequest.serializer(), this)

    private companion object {
        /** A twenty-fourth of the 6 KB a second that control may cost an entry VM. */
        const val MAXIMUM_BYTES_PER_SECOND = 250L
    }
}
