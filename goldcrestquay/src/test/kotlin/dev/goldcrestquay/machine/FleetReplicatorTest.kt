package dev.goldcrestquay.machine

import dev.goldcrestquay.fleetMember
import dev.goldcrestquay.move.RolloutOrder
import dev.goldcrestquay.move.RolloutPhase
import dev.goldcrestquay.planRecord
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.targetRecord
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FleetReplicatorTest {
    private val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }

    private fun TestScope.fleet(size: Int): FakeFleet = FakeFleet(this, store).also { fleet -> (1..size).forEach { fleet.start(it) } }

    private fun FakeFleet.versions(): Set<Long?> =
        running.mapTo(HashSet()) {
            it.state.routes
                ?.plan
                ?.version
        }

    @Test
    fun `one entry VM leads and all members know each other`() =
        runTest {
            val fleet = fleet(13)
            delay(4.seconds)
            fleet.leaders shouldHaveSize 1
            fleet.running.map { it.members.alive.size }.toSet() shouldBe setOf(13)
        }

    @Test
    fun `an idle fleet makes fewer than three store calls a second`() =
        runTest {
            val fleet = fleet(13)
            delay(5.seconds)
            val before = store.calls
            delay(30.seconds)
            (store.calls - before) shouldBeLessThan 30 * 3
            fleet.leaders shouldHaveSize 1
        }

    @Test
    fun `a new plan is in force on every entry VM within 100 milliseconds`() =
        runTest {
            val fleet = fleet(13)
            delay(5.seconds)
            store.write(Feed.OPERATOR) { planRecord(2, it) }
            delay(100.milliseconds)
            fleet.versions() shouldBe setOf(2L)
        }

    @Test
    fun `a plan written when the leader is killed is in force within two seconds`() =
        runTest {
            val fleet = fleet(13)
            delay(5.seconds)
            fleet.kill(fleet.leaders.single())
            store.write(Feed.OPERATOR) { planRecord(2, it) }
            delay(1900.milliseconds)
            fleet.versions() shouldBe setOf(2L)
            delay(3.seconds)
            fleet.running.map { it.members.alive.size }.toSet() shouldBe setOf(12)
        }

    @Test
    fun `a leader that stops answering is replaced within two seconds`() =
        runTest {
            val fleet = fleet(13)
            delay(5.seconds)
            val unresponsive =
                fleet.leaders
                    .single()
                    .members.self.peerAddress
            fleet.connected = { from, to -> from != unresponsive && to != unresponsive }
            store.access =
                {
                    if (fleet.running
                            .first { node -> node.members.self.name == it }
                            .members.self.peerAddress ==
                        unresponsive
                    ) {
                        Access.SILENT
                    } else {
                        Access.SERVED
                    }
                }
            store.write(Feed.OPERATOR) { planRecord(2, it) }
            delay(1900.milliseconds)
            fleet.running.filter { it.members.self.peerAddress != unresponsive }.mapTo(HashSet()) {
                it.state.routes
                    ?.plan
                    ?.version
            } shouldBe
                setOf(2L)
        }

    @Test
    fun `a leader that the store refuses or does not answer follows another`() =
        runTest {
            listOf(Access.REFUSED, Access.SILENT).forEachIndexed { round, access ->
                val fleet = fleet(13)
                delay(5.seconds)
                val unserved =
                    fleet.leaders
                        .single()
                        .members.self.name
                store.access = { if (it == unserved) access else Access.SERVED }
                val version = 2L + round
                store.write(Feed.OPERATOR) { planRecord(version, it) }
                delay(3.seconds)
                fleet.versions() shouldBe setOf(version)
                fleet.leaders.map { it.members.self.name }.contains(unserved) shouldBe false
                fleet.running.toList().forEach { fleet.kill(it) }
                store.access = { Access.SERVED }
            }
        }

    /** By then targets that leave must get no more requests; the cut strikes at any moment of the leader's poll. */
    @Test
    fun `records stay younger than two seconds when the store falls silent to the leader`() =
        runTest {
            for (phase in 0..1000 step 50) {
                val fleet = fleet(13)
                delay(5.seconds + phase.milliseconds)
                val leader = fleet.leaders.single()
                store.access = { if (it == leader.members.self.name) Access.SILENT else Access.SERVED }
                repeat(400) {
                    delay(10.milliseconds)
                    fleet.running.filter { it !== leader }.forEach { it.state.age() shouldBeLessThan 2.seconds }
                }
                store.access = { Access.SERVED }
                fleet.running.toList().forEach { fleet.kill(it) }
            }
        }

    @Test
    fun `members that cannot reach the store get new records from their peers`() =
        runTest {
            val fleet = fleet(13)
            delay(5.seconds)
            store.access = { if (it in setOf("vm-1", "vm-2", "vm-3", "vm-4")) Access.REFUSED else Access.SERVED }
            delay(3.seconds)
            store.write(Feed.TARGETS) { targetRecord(registeredTarget("late"), it) }
            delay(1500.milliseconds)
            fleet.running.all { it.state.isReady("late") } shouldBe true
        }

    @Test
    fun `entry VMs that were killed together have the plan 50 milliseconds after their restart`() =
        runTest {
            val fleet = fleet(13)
            delay(5.seconds)
            fleet.running.toList().forEach { fleet.kill(it) }
            (1..13).forEach { fleet.start(it, incarnation = 2) }
            delay(50.milliseconds)
            fleet.versions() shouldBe setOf(1L)
            delay(4.seconds)
            fleet.leaders shouldHaveSize 1
        }

    @Test
    fun `records stay younger than 1500 milliseconds on every member`() =
        runTest {
            val fleet = fleet(13)
            delay(5.seconds)
            repeat(100) {
                delay(97.milliseconds)
                fleet.running.forEach { it.state.age() shouldBeLessThan 1500.milliseconds }
            }
        }

    @Test
    fun `targets removed during a store outage get two seconds to register again`() =
        runTest {
            store.write(Feed.TARGETS) { targetRecord(registeredTarget("back"), it) }
            store.write(Feed.TARGETS) { targetRecord(registeredTarget("lost"), it) }
            val fleet = fleet(3)
            delay(5.seconds)
            store.access = { Access.REFUSED }
            delay(4.seconds)
            store.write(Feed.TARGETS) { TargetRecord("back", it, null) }
            store.write(Feed.TARGETS) { TargetRecord("lost", it, null) }
            store.access = { Access.SERVED }
            delay(1.seconds)
            fleet.running.all { it.state.isReady("back") && it.state.isReady("lost") } shouldBe true
            store.write(Feed.TARGETS) { targetRecord(registeredTarget("back", heartbeat = 2), it) }
            delay(4.seconds)
            fleet.running.map { it.state.isReady("back") to it.state.isReady("lost") }.toSet() shouldBe setOf(true to false)
        }

    @Test
    fun `a feed whose history was dropped is loaded again`() =
        runTest {
            val fleet = fleet(3)
            delay(5.seconds)
            store.write(Feed.TARGETS) { targetRecord(registeredTarget("a"), it) }
            store.dropHistory(Feed.TARGETS)
            store.dropHistory(Feed.OPERATOR)
            delay(2.seconds)
            fleet.running.all { it.state.isReady("a") } shouldBe true
        }

    @Test
    fun `a first start costs the store a call a second and three for each seed`() =
        runTest {
            val fleet = FakeFleet(this, store)
            (13 downTo 1).forEach {
                fleet.start(it, isFirstStart = true)
                delay(23.milliseconds)
            }
            delay(4.seconds)
            store.calls shouldBeLessThan 3 * 3 + 3 * 5 + 10
            fleet.leaders shouldHaveSize 1
        }

    @Test
    fun `a fleet makes few calls during a store outage and has a new plan 1500 milliseconds after it`() =
        runTest {
            val fleet = fleet(19)
            delay(5.seconds)
            store.access = { Access.REFUSED }
            delay(2.seconds)
            val before = store.calls
            delay(10.seconds)
            (store.calls - before) shouldBeLessThan 10 * 19
            store.write(Feed.OPERATOR) { planRecord(2, it) }
            store.access = { Access.SERVED }
            delay(1500.milliseconds)
            fleet.versions() shouldBe setOf(2L)
            delay(3.seconds)
            fleet.leaders shouldHaveSize 1
        }

    @Test
    fun `when the store serves only the last candidate all members follow it`() =
        runTest {
            val fleet = fleet(19)
            delay(5.seconds)
            val order =
                fleet.running
                    .first()
                    .members
                    .candidates(emptyList())
            val served = fleet.running.first { it.members.self.peerAddress == order.last() }
            store.access = { if (it == served.members.self.name) Access.SERVED else Access.REFUSED }
            delay(6.seconds)
            store.write(Feed.OPERATOR) { planRecord(2, it) }
            delay(1.seconds)
            fleet.versions() shouldBe setOf(2L)
            val before = store.calls
            delay(10.seconds)
            (store.calls - before) shouldBeLessThan 10 * 8
        }

    @Test
    fun `a slow store keeps its leader and records stay younger than 2500 milliseconds`() =
        runTest {
            listOf(350, 600, 800).forEach { callMilliseconds ->
                val fleet = fleet(13)
                delay(5.seconds)
                val leader = fleet.leaders.single()
                store.callTime = callMilliseconds.milliseconds
                repeat(100) {
                    delay(100.milliseconds)
                    fleet.running.forEach { it.state.age() shouldBeLessThan 2500.milliseconds }
                }
                fleet.leaders shouldBe listOf(leader)
                store.callTime = 4.milliseconds
                fleet.running.toList().forEach { fleet.kill(it) }
            }
        }

    @Test
    fun `entry VMs that change their source because it stalls do not get all records again`() =
        runTest {
            repeat(200) { number -> store.write(Feed.TARGETS) { targetRecord(registeredTarget("target-$number"), it) } }
            val fleet = FakeFleet(this, store, dataCentres = 3)
            (1..40).forEach { fleet.start(it) }
            delay(10.seconds)
            val before = fleet.running.sumOf { it.sentRecords }
            repeat(8) { round ->
                val stalled = fleet.running.filterIndexed { index, _ -> index % 8 == round }
                stalled.forEach { it.eventLoop.isPaused = true }
                delay(1.seconds)
                store.write(Feed.TARGETS) { targetRecord(registeredTarget("new-$round"), it) }
                stalled.forEach { it.eventLoop.isPaused = false }
                delay(1.seconds)
            }
            delay(2.seconds)
            fleet.running.map { it.state.targets().size }.toSet() shouldBe setOf(208)
            (fleet.running.sumOf { it.sentRecords } - before) shouldBeLessThan 8 * 40 * 10
        }

    /** Half of the two seconds within which changes must be in force is left for a change of leader. */
    @Test
    fun `while nothing happens the records of all are younger than a second`() =
        runTest {
            val fleet = FakeFleet(this, store, dataCentres = 3)
            (1..40).forEach { fleet.start(it) }
            delay(5.seconds)
            repeat(500) {
                delay(10.milliseconds)
                fleet.running.maxOf { it.state.age() } shouldBeLessThan 1.seconds
            }
        }

    @Test
    fun `in a large fleet the requests that any member receives are bounded`() =
        runTest {
            val fleet = FakeFleet(this, store, dataCentres = 3)
            (1..300).forEach { fleet.start(it, isFirstStart = true) }
            delay(6.seconds)
            fleet.running.map { it.members.alive.size }.toSet() shouldBe setOf(300)
            fleet.leaders shouldHaveSize 1
            val before = fleet.running.associateWith { it.requests }
            delay(10.seconds)
            fleet.running.maxOf { it.requests - before.getValue(it) } shouldBeLessThan 10 * 36 * 5 / 2
            fleet.running.forEach { it.state.age() shouldBeLessThan 1500.milliseconds }
        }

    @Test
    fun `a large fleet that loses its leader and a data centre has a new plan within two seconds`() =
        runTest {
            val fleet = FakeFleet(this, store, seeds = listOf(1, 2, 3), dataCentres = 3)
            (1..131).forEach { fleet.start(it) }
            delay(6.seconds)
            val leader = fleet.leaders.single()
            val lostDataCentre =
                fleet.running
                    .first { it.members.self.dataCentre != leader.members.self.dataCentre }
                    .members.self.dataCentre
            fleet.running.filter { it === leader || it.members.self.dataCentre == lostDataCentre }.forEach { fleet.kill(it) }
            store.write(Feed.OPERATOR) { planRecord(2, it) }
            delay(2.seconds)
            fleet.versions() shouldBe setOf(2L)
            delay(6.seconds)
            fleet.running.map { it.members.alive.size }.toSet() shouldBe setOf(fleet.running.size)
        }

    @Test
    fun `members that join a large fleet are known to all and killed ones are removed`() =
        runTest {
            val fleet = FakeFleet(this, store, dataCentres = 3)
            (1..100).forEach { fleet.start(it) }
            delay(6.seconds)
            (101..131).forEach { fleet.start(it) }
            delay(1500.milliseconds)
            fleet.running.map { it.members.alive.size }.toSet() shouldBe setOf(131)
            fleet.running
                .filter {
                    it.members.self.name
                        .endsWith("7") &&
                        !it.replicator.isLeader
                }.forEach { fleet.kill(it) }
            delay(4.seconds)
            fleet.running.map { it.members.alive.size }.toSet() shouldBe setOf(fleet.running.size)
        }

    @Test
    fun `a version that fails once it gets all traffic is stopped on every entry VM within 700 milliseconds`() =
        runTest {
            val fleet = FakeFleet(this, store, dataCentres = 5).also { fleet -> (1..40).forEach { fleet.start(it) } }
            store.write(Feed.TARGETS) { targetRecord(registeredTarget("new", version = "v2"), it) }
            delay(5.seconds)
            store.write(Feed.OPERATOR) { RolloutRecord("rollout/shop", it, "shop", RolloutOrder("shop", "v2", 10.seconds)) }
            delay(1.seconds)
            fleet.running.forEach { it.recordAnswers(failed = false) }
            while (fleet.phases() != setOf(RolloutPhase.SHIFTED)) delay(10.milliseconds)
            repeat(2) { fleet.running.forEach { it.recordAnswers(failed = true) } }
            delay(700.milliseconds)
            fleet.phases() shouldBe setOf(RolloutPhase.ROLLED_BACK)
        }

    /** Cuts the entry VM with [number] off from the store and from all others but those in [reachable]. */
    private fun FakeFleet.isolate(
        number: Int,
        reachable: Set<Int> = emptySet(),
    ) {
        val isolated = fleetMember(number)
        val allowed = reachable.mapTo(HashSet()) { fleetMember(it).peerAddress } + isolated.peerAddress
        connected = { from, to -> isolated.peerAddress !in setOf(from, to) || (from in allowed && to in allowed) }
        store.access = { if (it == isolated.name) Access.SILENT else Access.SERVED }
    }

    @Test
    fun `a target that left is not used again after restarts, though an isolated peer still holds it`() =
        runTest {
            store.write(Feed.TARGETS) { targetRecord(registeredTarget("left"), it) }
            val fleet = fleet(5)
            delay(5.seconds)
            fleet.isolate(1)
            // The read that it has begun before may still be answered.
            delay(2.seconds)
            store.write(Feed.TARGETS) { TargetRecord("left", it, null) }
            (2..5).forEach { number -> fleet.kill(fleet.running.first { it.members.self.name == "vm-$number" }) }
            (2..5).forEach { fleet.start(it, incarnation = 2) }
            delay(5.seconds)
            fleet.isolate(1, reachable = setOf(5))
            fleet.kill(fleet.running.first { it.members.self.name == "vm-5" })
            val restarted = fleet.start(5, incarnation = 3)
            repeat(30) {
                delay(100.milliseconds)
                if (restarted.state.isLoaded) restarted.state.targets() shouldHaveSize 0
            }
            restarted.state.isLoaded shouldBe true
        }

    @Test
    fun `a restarted entry VM does not serve by the plan of an isolated peer while the store answers slowly`() =
        runTest {
            val fleet = fleet(1)
            delay(5.seconds)
            fleet.isolate(1, reachable = setOf(2))
            // The read that it has begun before may still be answered.
            delay(2.seconds)
            store.write(Feed.OPERATOR) { planRecord(2, it) }
            delay(5.seconds)
            store.callTime = 400.milliseconds
            val restarted = fleet.start(2, incarnation = 2)
            while (!restarted.state.isLoaded) delay(10.milliseconds)
            restarted.state.routes
                ?.plan
                ?.version shouldBe 2
        }

    @Test
    fun `an entry VM that starts while nobody reaches the store serves by the records of its peers`() =
        runTest {
            val fleet = fleet(3)
            delay(5.seconds)
            store.access = { Access.SILENT }
            delay(5.seconds)
            val started = fleet.start(4)
            delay(3.seconds)
            started.state.isLoaded shouldBe true
        }

    /** The load pattern of a first start: all entry VMs run for many seconds before the operators write the first plan. */
    @Test
    fun `a fleet that waits for its first plan makes few store calls`() =
        runTest {
            val empty = FakeStore()
            val fleet = FakeFleet(this, empty).also { fleet -> (1..20).forEach { fleet.start(it, isFirstStart = true) } }
            delay(5.seconds)
            val before = empty.calls
            delay(10.seconds)
            (empty.calls - before) shouldBeLessThan 10 * 3
            empty.write(Feed.OPERATOR) { planRecord(1, it) }
            delay(1.seconds)
            fleet.versions() shouldBe setOf(1L)
        }

    @Test
    fun `an unexpected error in a step does not end the replication`() =
        runTest {
            val fleet = fleet(3)
            store.access = { error("unexpected") }
            delay(5.seconds)
            store.access = { Access.SERVED }
            delay(3.seconds)
            store.write(Feed.OPERATOR) { planRecord(2, it) }
            store.access = { throw StackOverflowError() }
            delay(2.seconds)
            store.access = { Access.SERVED }
            delay(5.seconds)
            fleet.versions() shouldBe setOf(2L)
        }

    private fun FakeFleet.phases() =
        running.mapTo(HashSet()) {
            it.state
                .rollouts()
                .values
                .single()
                .phase
        }

    private fun FakeFleet.Node.recordAnswers(failed: Boolean) {
        evidence.recordAnswer(evidence.recordSend(registeredTarget("new", version = "v2"), "lookup"), failed)
    }
}
