package dev.goldcrestquay.overload

import dev.goldcrestquay.routing.Admission
import dev.goldcrestquay.routing.AdmissionView
import dev.goldcrestquay.routing.admit
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** What callers of four kinds get while a burst of the least urgent one meets a service that has lost half of its targets. */
class ScarceRoomReplayTest {
    private val stock = ReplayedKind("stock", RequestRank(0, true), 40.0, 56.0, 200.0, 1000.0, 1000.0)
    private val lookup = ReplayedKind("lookup", RequestRank(1, false), 60.0, 140.0, 400.0, 2000.0, 1000.0)
    private val payment = ReplayedKind("payment", RequestRank(1, true), 30.0, 98.0, 300.0, 1500.0, 800.0)
    private val deposit = ReplayedKind("deposit", RequestRank(2, false), 100.0, 180.0, 1000.0, 2000.0, 1000.0, burst = 2.3)
    private val kinds = listOf(stock, lookup, payment, deposit)

    private fun play(run: (Int) -> Map<String, KindResult>): Map<String, KindResult> {
        val days = listOf(7, 8, 9, 10).map(run)
        return kinds.associate { kind -> kind.name to days.map { it.getValue(kind.name) }.reduce(KindResult::plus) }
    }

    /** Each request is judged by itself. */
    private fun singly(seed: Int): Map<String, KindResult> {
        val random = Random(seed)
        val decision =
            ReplayedDecision({
                val admission = admit(AdmissionView(it.expected, it.excess, it.objectiveLeft, it.timeLeft, it.rank.priority))
                (admission as? Admission.Refused)?.let { it.retryAfter.coerceAtMost(800.milliseconds) * (1.0 + random.nextDouble()) }
            })
        return ServiceReplay(kinds, seed).run(List(VMS) { decision })
    }

    private fun shared(
        seed: Int,
        isExchanging: Boolean = true,
        load: List<ReplayedKind> = kinds,
    ): Map<String, KindResult> {
        val replay = ServiceReplay(load, seed)
        val pressures = List(VMS) { FleetPressure(replay.clock) }
        val rooms = pressures.mapIndexed { index, pressure -> ScarceRoom(replay.clock, Random(seed * 100 + index), pressure) }
        var levels = emptyList<ServiceLevel>()
        return replay.run(
            rooms.map { room ->
                ReplayedDecision({ (room.decide(it) as? RoomDecision.Refused)?.retryAfter }, room::recordUse)
            },
        ) {
            if (!isExchanging) return@run
            pressures.drop(1).forEachIndexed { index, pressure ->
                pressure.adopt(levels.map { it.copy(ageMilliseconds = it.ageMilliseconds + 300) })
                pressures[0].merge("vm-$index", pressure.loads())
            }
            levels = pressures[0].levels(isLeader = true)
        }
    }

    private val KindResult.earned get() = (inObjective + late * LATE_VALUE) / asked

    private val KindResult.cutShare get() = cut.toDouble() / asked

    /** The pairs of kinds of which the more urgent one is served less often by over 5 in 100, or earns less by over 15 in 100. */
    private fun Map<String, KindResult>.inversions(): List<String> =
        kinds.flatMap { urgent ->
            kinds.filter { it.rank.priority > urgent.rank.priority }.mapNotNull { other ->
                val (first, second) = getValue(urgent.name) to getValue(other.name)
                val isWorseOff = second.served - first.served > 0.05 || (!urgent.rank.isSpill && second.earned - first.earned > 0.15)
                "${urgent.name} after ${other.name}".takeIf { isWorseOff }
            }
        }

    @Test
    fun `requests judged singly are cut off and served against their order`() {
        val results = play(::singly)
        results.getValue(deposit.name).cutShare shouldBeGreaterThan 0.05
        results.inversions() shouldContain "lookup after deposit"
    }

    @Test
    fun `with a shared level what is sent ends in its time, urgent kinds come first, and no fewer are served`() {
        val before = play(::singly)
        val after = play { shared(it) }
        withClue(after) {
            after.inversions() shouldBe emptyList()
            after.values.maxOf { it.cutShare } shouldBeLessThan 0.01
            val mean = after.values.sumOf { it.inObjective + it.late }.toDouble() / after.values.sumOf { it.asked }
            after.values.minOf { it.served } shouldBeGreaterThan mean / 4
            after.values.sumOf { it.inObjective } shouldBeGreaterThanOrEqual before.values.sumOf { it.inObjective }
            after.values.sumOf { it.inObjective + it.late } shouldBeGreaterThanOrEqual before.values.sumOf { it.inObjective + it.late }
        }
    }

    /** The load pattern of a fleet whose leader is lost for as long as the burst lasts. */
    @Test
    fun `an entry VM that hears no peer keeps the order by what it sees itself`() {
        val results = play { shared(it, isExchanging = false) }
        results.inversions() shouldBe emptyList()
        results.values.maxOf { it.cutShare } shouldBeLessThan 0.01
    }

    @Test
    fun `without a burst all kinds are served`() {
        val calm = kinds.map { it.copy(perSecond = it.perSecond / 4, burst = 1.0) }
        val results = play { shared(it, load = calm) }
        results.values.minOf { it.served } shouldBeGreaterThan 0.99
    }

    private companion object {
        const val VMS = 60

        /** The value of a late answer, in answers in time. */
        const val LATE_VALUE = 0.1
    }
}
