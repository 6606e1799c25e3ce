package dev.goldcrestquay.overload

import dev.goldcrestquay.machine.FakeFleet
import dev.goldcrestquay.machine.FakeStore
import dev.goldcrestquay.machine.Feed
import dev.goldcrestquay.machine.FleetEvent
import dev.goldcrestquay.planRecord
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FleetPressureTest {
    private var now = 10.seconds

    private fun load(refused: Double) = listOf(ServiceLoad("shop", listOf(KindLoad("a", 1, false, 10.0, 1000.0, 0.0, refused, 0.0, 0.0))))

    private fun level(
        share: Double,
        age: Long = 0,
    ) = listOf(ServiceLevel("shop", share, mapOf("a" to share), age))

    @Test
    fun `loads add up, a process's later report replaces its earlier one, and old reports end`() {
        val pressure = FleetPressure({ now })
        pressure.merge("vm-1", load(9.0))
        pressure.merge("vm-1", load(1.0))
        pressure.merge("vm-2", load(2.0))
        pressure
            .loads()
            .single()
            .kinds
            .single()
            .let { listOf(it.arrivals, it.refused) } shouldBe listOf(20.0, 3.0)
        now += 1500.milliseconds
        pressure.merge("vm-2", load(2.0))
        now += 600.milliseconds
        pressure
            .loads()
            .single()
            .kinds
            .single()
            .arrivals shouldBe 10.0
    }

    @Test
    fun `a level is adopted, not replaced by an older one, and gives way to the own view with age`() {
        val pressure = FleetPressure({ now })
        pressure.share("shop", "a") shouldBe 1.0
        pressure.adopt(level(0.4))
        pressure.adopt(level(0.9, age = 500))
        pressure.share("shop", "a") shouldBe (0.4 plusOrMinus 0.001)
        pressure.share("shop", "other") shouldBe 1.0
        pressure.levels(isLeader = false).single().shares shouldBe mapOf("a" to 0.4)
        now += 2750.milliseconds
        pressure.share("shop", "a") shouldBe (0.7 plusOrMinus 0.001)
        now += 1300.milliseconds
        pressure.share("shop", "a") shouldBe 1.0
        pressure.levels(isLeader = false) shouldBe emptyList()
    }

    @Test
    fun `a new leader goes on from the level that it holds and reports each change`() {
        val events = mutableListOf<FleetEvent>()
        val pressure = FleetPressure({ now }, events::add)
        pressure.adopt(level(0.4))
        pressure.merge("vm-1", load(0.0))
        now += 250.milliseconds
        repeat(2) { pressure.levels(isLeader = true) }
        pressure.levels(isLeader = true).single().openness shouldBe (0.45 plusOrMinus 0.001)
        events.map { (it as FleetEvent.AdmissionLevelChanged).service } shouldBe listOf("shop")
        (pressure.share("shop", "a") in 0.4..0.55) shouldBe true
    }

    /** The load pattern of a large fleet: no entry VM sees enough requests to judge by itself. */
    @Test
    fun `all entry VMs of a large fleet soon hold the leader's level and lose it without peers`() =
        runTest {
            val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }
            val fleet = FakeFleet(this, store, dataCentres = 3, sharesScarceRoom = true)
            repeat(116) { fleet.start(it + 1) }
            delay(5.seconds)
            fleet.running.filter { !it.replicator.isLeader }.forEach { it.pressure?.merge("callers", load(5.0)) }
            delay(1500.milliseconds)

            fun shares(): List<Double> = fleet.running.mapNotNull { it.pressure?.share("shop", "a") }
            shares().max() shouldBeLessThan 0.95
            (shares().max() - shares().min()) shouldBeLessThan 0.31
            val bytes = Json.encodeToString(ServiceLoad.serializer(), checkNotNull(fleet.running.first().pressure).loads().first()).length
            bytes shouldBeLessThan 256
            fleet.connected = { _, _ -> false }
            delay(5.seconds)
            shares().min() shouldBe 1.0
        }
}
