package dev.goldcrestquay.machine

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
    fun `one entry VM reads and all know each other`() =
        runTest {
            val fleet = fleet(13)
            delay(4.seconds)
            fleet.readers shouldHaveSize 1
            fleet.running.map { it.members.alive.size }.toSet() shouldBe setOf(13)
        }

    @Test
    fun `a calm second costs the whole fleet a few calls`() =
        runTest {
            val fleet = fleet(13)
            delay(5.seconds)
            val before = store.calls
            delay(30.seconds)
            (store.calls - before) shouldBeLessThan 30 * 3
            fleet.readers shouldHaveSize 1
        }

    @Test
    fun `a plan is in force everywhere within the bound`() =
        runTest {
            val fleet = fleet(13)
            delay(5.seconds)
            store.write(Feed.OPERATOR) { planRecord(2, it) }
            delay(100.milliseconds)
            fleet.versions() shouldBe setOf(2L)
        }

    @Test
    fun `a plan written as the reader dies is in force within two seconds`() =
        runTest {
            val fleet = fleet(13)
            delay(5.seconds)
            fleet.kill(fleet.readers.single())
            store.write(Feed.OPERATOR) { planRecord(2, it) }
            delay(1900.milliseconds)
            fleet.versions() shouldBe setOf(2L)
            delay(3.seconds)
            fleet.running.map { it.members.alive.size }.toSet() shouldBe setOf(12)
        }

    @Test
    fun `a reader that falls silent is replaced within two seconds`() =
        runTest {
            val fleet = fleet(13)
            delay(5.seconds)
            val frozen =
                fleet.readers
                    .single()
                    .members.self.peerAddress
            fleet.connected = { from, to -> from != frozen && to != frozen }
            store.access =
                {
                    if (fleet.running
                            .first { node -> node.members.self.name == it }
                            .members.self.peerAddress ==
                        frozen
                    ) {
                        Access.SILENT
                    } else {
                        Access.SERVED
                    }
                }
            store.write(Feed.OPERATOR) { planRecord(2, it) }
            delay(1900.milliseconds)
            fleet.running.filter { it.members.self.peerAddress != frozen }.mapTo(HashSet()) {
                it.state.routes
                    ?.plan
                    ?.version
            } shouldBe
                setOf(2L)
        }

    @Test
    fun `a reader that the store turns away follows another`() =
        runTest {
            listOf(Access.REFUSED, Access.SILENT).forEachIndexed { round, access ->
                val fleet = fleet(13)
                delay(5.seconds)
                val turnedAway =
                    fleet.readers
                        .single()
                        .members.self.name
                store.access = { if (it == turnedAway) access else Access.SERVED }
                val version = 2L + round
                store.write(Feed.OPERATOR) { planRecord(version, it) }
                delay(3.seconds)
                fleet.versions() shouldBe setOf(version)
                fleet.readers.map { it.members.self.name }.contains(turnedAway) shouldBe false
                fleet.running.toList().forEach { fleet.kill(it) }
                store.access = { Access.SERVED }
            }
        }

    @Test
    fun `members cut off from the store alone learn from their peers`() =
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
    fun `all killed at once are served again at once`() =
        runTest {
            val fleet = fleet(13)
            delay(5.seconds)
            fleet.running.toList().forEach { fleet.kill(it) }
            (1..13).forEach { fleet.start(it, incarnation = 2) }
            delay(50.milliseconds)
            fleet.versions() shouldBe setOf(1L)
            delay(4.seconds)
            fleet.readers shouldHaveSize 1
        }

    @Test
    fun `facts stay young on every member`() =
        runTest {
            val fleet = fleet(13)
            delay(5.seconds)
            repeat(100) {
                delay(97.milliseconds)
                fleet.running.forEach { it.state.age() shouldBeLessThan 1500.milliseconds }
            }
        }

    @Test
    fun `entries that lapse while the store is away get two seconds to return`() =
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
    fun `forgotten history is read anew`() =
        runTest {
            val fleet = fleet(3)
            delay(5.seconds)
            store.write(Feed.TARGETS) { targetRecord(registeredTarget("a"), it) }
            store.forgetHistory(Feed.TARGETS)
            store.forgetHistory(Feed.OPERATOR)
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
            fleet.readers shouldHaveSize 1
        }

    @Test
    fun `while the store turns everybody away few calls are made and its return is heard at once`() =
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
            fleet.readers shouldHaveSize 1
        }

    @Test
    fun `when the store serves only the last in order all follow that one`() =
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
    fun `a slow store keeps its reader and facts stay young`() =
        runTest {
            listOf(350, 600, 800).forEach { slowness ->
                val fleet = fleet(13)
                delay(5.seconds)
                val reader = fleet.readers.single()
                store.callTime = slowness.milliseconds
                repeat(100) {
                    delay(100.milliseconds)
                    fleet.running.forEach { it.state.age() shouldBeLessThan 2500.milliseconds }
                }
                fleet.readers shouldBe listOf(reader)
                store.callTime = 4.milliseconds
                fleet.running.toList().forEach { fleet.kill(it) }
            }
        }

    @Test
    fun `in a large fleet nobody answers more than a bounded number of peers`() =
        runTest {
            val fleet = FakeFleet(this, store, dataCentres = 3)
            (1..300).forEach { fleet.start(it, isFirstStart = true) }
            delay(6.seconds)
            fleet.running.map { it.members.alive.size }.toSet() shouldBe setOf(300)
            fleet.readers shouldHaveSize 1
            val before = fleet.running.associateWith { it.answered }
            delay(10.seconds)
            fleet.running.maxOf { it.answered - before.getValue(it) } shouldBeLessThan 10 * 36 * 5 / 2
            fleet.running.forEach { it.state.age() shouldBeLessThan 1500.milliseconds }
        }

    @Test
    fun `a large fleet without its reader and a data centre learns of a plan within the bound`() =
        runTest {
            val fleet = FakeFleet(this, store, seeds = listOf(1, 2, 3), dataCentres = 3)
            (1..131).forEach { fleet.start(it) }
            delay(6.seconds)
            val reader = fleet.readers.single()
            val lost =
                fleet.running
                    .first { it.members.self.dataCentre != reader.members.self.dataCentre }
                    .members.self.dataCentre
            fleet.running.filter { it === reader || it.members.self.dataCentre == lost }.forEach { fleet.kill(it) }
            store.write(Feed.OPERATOR) { planRecord(2, it) }
            delay(2.seconds)
            fleet.versions() shouldBe setOf(2L)
            delay(6.seconds)
            fleet.running.map { it.members.alive.size }.toSet() shouldBe setOf(fleet.running.size)
        }

    @Test
    fun `members that join a large fleet are known to all and the dead are forgotten`() =
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
                        !it.feed.isReader
                }.forEach { fleet.kill(it) }
            delay(4.seconds)
            fleet.running.map { it.members.alive.size }.toSet() shouldBe setOf(fleet.running.size)
        }
}
