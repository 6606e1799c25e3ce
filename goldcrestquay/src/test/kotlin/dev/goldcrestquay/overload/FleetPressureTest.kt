package dev.goldcrestquay.overload

import dev.goldcrestquay.machine.Access
import dev.goldcrestquay.machine.FakeFleet
import dev.goldcrestquay.machine.FakeStore
import dev.goldcrestquay.machine.Feed
import dev.goldcrestquay.machine.FleetEvent
import dev.goldcrestquay.planRecord
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.builtins.ListSerializer
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
    ) = listOf(ServiceLevel("shop", share, mapOf("1:a" to share), age))

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
        pressure.share("shop", "1:a") shouldBe 1.0
        pressure.adopt(level(0.4))
        pressure.adopt(level(0.9, age = 500))
        pressure.share("shop", "1:a") shouldBe (0.4 plusOrMinus 0.001)
        pressure.share("shop", "1:other") shouldBe 1.0
        pressure.levels(isLeader = false).single().shares shouldBe mapOf("1:a" to 0.4)
        now += 2750.milliseconds
        pressure.share("shop", "1:a") shouldBe (0.7 plusOrMinus 0.001)
        now += 1300.milliseconds
        pressure.share("shop", "1:a") shouldBe 1.0
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
        (pressure.share("shop", "1:a") in 0.4..0.55) shouldBe true
    }

    @Test
    fun `counts of a peer that can't be are neither added up nor passed on as they are`() {
        val pressure = FleetPressure({ now })
        val (huge, negative) = listOf(1e307, -1e307).map { KindLoad("a", 1, false, it, it, it, it, it, it) }
        repeat(20) { pressure.merge("vm-$it", listOf(ServiceLoad("shop", listOf(huge)))) }
        Json.encodeToString(ListSerializer(ServiceLoad.serializer()), pressure.loads())
        pressure.merge("vm-20", listOf(ServiceLoad("other", listOf(negative))))
        val other = pressure.loads().single { it.service == "other" }
        other.kinds.single().let { listOf(it.arrivals, it.workMilliseconds, it.refused) } shouldBe listOf(0.0, 0.0, 0.0)
    }

    @Test
    fun `the own view of a service that got no requests for long calls for nothing`() {
        val pressure = FleetPressure({ now })
        val request =
            RoomRequest(
                service = "shop",
                route = "a",
                rank = RequestRank(1, false),
                isFirstAttempt = true,
                isReturned = false,
                expected = 1.seconds,
                work = 1.seconds,
                excess = 1,
                objectiveLeft = 1.seconds,
                timeLeft = 1.seconds,
                callerTimeLeft = 1.seconds,
            )
        repeat(20) {
            repeat(10) {
                pressure.counter.recordArrival(request)
                pressure.counter.recordRefused(request)
            }
            now += 250.milliseconds
            pressure.share("shop", "1:a")
        }
        pressure.share("shop", "1:a") shouldBeLessThan 0.5
        now += 60.seconds
        pressure.share("shop", "1:a") shouldBe 1.0
    }

    /** The load pattern of a store that fails for long: entry VMs without a leader ask each other. */
    @Test
    fun `entry VMs that ask each other do not count a load twice or for longer than it lasts`() =
        runTest {
            val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }
            val fleet = FakeFleet(this, store, sharesScarceRoom = true)
            repeat(2) { fleet.start(it + 1) }
            delay(5.seconds)
            store.access = { Access.REFUSED }
            delay(4.seconds)
            fleet.leaders.shouldBeEmpty()
            fleet.running.forEach { it.pressure?.merge("callers", load(5.0)) }
            repeat(3) {
                delay(500.milliseconds)
                fleet.running.forEach { vm -> vm.pressure.arrivals() shouldBeLessThan 20.01 }
            }
            delay(5.seconds)
            fleet.running.forEach { it.pressure.arrivals() shouldBe 0.0 }
        }

    private fun FleetPressure?.arrivals() = checkNotNull(this).loads().sumOf { it.arrivals }

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

            fun shares(): List<Double> = fleet.running.mapNotNull { it.pressure?.share("shop", "1:a") }
            shares().max() shouldBeLessThan 0.95
            (shares().max() - shares().min()) shouldBeLessThan 0.31
            val bytes = Json.encodeToString(ServiceLoad.serializer(), checkNotNull(fleet.running.first().pressure).loads().first()).length
            bytes shouldBeLessThan 256
            fleet.connected = { _, _ -> false }
            delay(5.seconds)
            shares().min() shouldBe 1.0
        }
}
