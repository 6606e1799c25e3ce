package dev.goldcrestquay.machine

import dev.goldcrestquay.move.RolloutOrder
import dev.goldcrestquay.move.RolloutOutcome
import dev.goldcrestquay.move.RolloutPhase
import dev.goldcrestquay.move.RolloutVerdict
import dev.goldcrestquay.planRecord
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.targetRecord
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The store is away for two seconds and returns from an older copy; operators and targets then write their records again. */
class RestoredStoreTest {
    private val order = RolloutOrder("shop", "v2", 20.seconds)

    private suspend fun FakeStore.restoreAfterOutage(
        kept: Map<Feed, Int>,
        writtenDuringOutage: FakeStore.() -> Unit = { },
    ) {
        access = { Access.REFUSED }
        delay(2.seconds)
        restore(kept)
        writtenDuringOutage()
        access = { Access.SERVED }
    }

    private fun TestScope.fleet(
        store: FakeStore,
        size: Int = 13,
    ) = FakeFleet(this, store).also { fleet -> (1..size).forEach { fleet.start(it) } }

    private fun FakeFleet.versions() =
        running.mapTo(HashSet()) {
            it.state.routes
                ?.plan
                ?.version
        }

    @Test
    fun `a plan written after the store was restored is in force on every entry VM within two seconds`() =
        runTest {
            for (lost in 0..3) {
                for (writtenAgain in 1..4) {
                    val store = FakeStore()
                    (1L..5L).forEach { version -> store.write(Feed.OPERATOR) { planRecord(version, it) } }
                    val fleet = fleet(store)
                    delay(5.seconds)
                    store.restoreAfterOutage(mapOf(Feed.OPERATOR to 5 - lost)) {
                        repeat(writtenAgain) { write(Feed.OPERATOR) { planRecord(5, it) } }
                    }
                    delay(4.seconds)
                    withClue("$lost lost, $writtenAgain written again") {
                        fleet.versions() shouldBe setOf(5L)
                        for (version in 6L..8L) {
                            store.write(Feed.OPERATOR) { planRecord(version, it) }
                            delay(1900.milliseconds)
                            fleet.versions() shouldBe setOf(version)
                        }
                    }
                    fleet.running.toList().forEach { fleet.kill(it) }
                }
            }
        }

    /** The present history has passed the leader's position of the lost one, so that the store serves a read from there. */
    @Test
    fun `records written before the position of the lost history are read`() =
        runTest {
            val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }
            (1..5).forEach { number -> store.write(Feed.TARGETS) { targetRecord(registeredTarget("t$number"), it) } }
            val fleet = fleet(store)
            delay(5.seconds)
            store.restore(mapOf(Feed.TARGETS to 2))
            (6..9).forEach { number -> store.write(Feed.TARGETS) { targetRecord(registeredTarget("t$number"), it) } }
            delay(3.seconds)
            fleet.running.forEach { node -> (6..9).forEach { node.state.isReady("t$it") shouldBe true } }
        }

    @Test
    fun `a target that leaves after the store was restored is not used and one that comes is`() =
        runTest {
            val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }
            (1..9).forEach { number -> store.write(Feed.TARGETS) { targetRecord(registeredTarget("t$number", heartbeat = 1), it) } }
            val fleet = fleet(store)
            delay(5.seconds)
            store.restoreAfterOutage(mapOf(Feed.TARGETS to 5)) {
                (6..9).forEach { number -> write(Feed.TARGETS) { targetRecord(registeredTarget("t$number", heartbeat = 2), it) } }
            }
            delay(4.seconds)
            store.restoreAfterOutage(mapOf(Feed.TARGETS to 5)) {
                write(Feed.TARGETS) { targetRecord(registeredTarget("t10", heartbeat = 1), it) }
                write(Feed.TARGETS) { targetRecord(registeredTarget("t1", TargetPhase.DRAINING, heartbeat = 5), it) }
            }
            delay(2.seconds)
            fleet.running.forEach { node ->
                node.state.isReady("t1") shouldBe false
                node.state.isReady("t10") shouldBe true
            }
        }

    @Test
    fun `targets that register again after the store was restored stay in use meanwhile and others do not`() =
        runTest {
            val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }
            (1..4).forEach { number -> store.write(Feed.TARGETS) { targetRecord(registeredTarget("t$number", heartbeat = 1), it) } }
            val fleet = fleet(store)
            delay(5.seconds)
            store.restoreAfterOutage(mapOf(Feed.TARGETS to 2))
            repeat(15) {
                delay(100.milliseconds)
                fleet.running.forEach { it.state.isReady("t3") shouldBe true }
            }
            store.write(Feed.TARGETS) { targetRecord(registeredTarget("t3", heartbeat = 3), it) }
            delay(4.seconds)
            fleet.running.forEach { node -> (1..4).map { node.state.isReady("t$it") } shouldBe listOf(true, true, true, false) }
        }

    /** The copy still has the target that left, as ready. */
    @Test
    fun `a target that left before the store was restored stays out of use`() =
        runTest {
            val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }
            store.write(Feed.TARGETS) { targetRecord(registeredTarget("left", heartbeat = 1), it) }
            store.write(Feed.TARGETS) { targetRecord(registeredTarget("draining", heartbeat = 1), it) }
            store.write(Feed.TARGETS) { targetRecord(registeredTarget("other", heartbeat = 1), it) }
            val fleet = fleet(store)
            delay(5.seconds)
            store.write(Feed.TARGETS) { TargetRecord("left", it, null) }
            store.write(Feed.TARGETS) { targetRecord(registeredTarget("draining", TargetPhase.DRAINING, heartbeat = 2), it) }
            delay(2.seconds)
            store.restoreAfterOutage(mapOf(Feed.TARGETS to 3))
            repeat(50) {
                delay(100.milliseconds)
                fleet.running.forEach { node -> listOf("left", "draining").map { node.state.isReady(it) } shouldBe listOf(false, false) }
            }
        }

    @Test
    fun `an evacuated data centre gets no requests while its evacuation is written again`() =
        runTest {
            for (restartLeader in listOf(false, true)) {
                val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }
                store.write(Feed.OPERATOR) { EvacuationRecord("evacuate/south", it, "south", true) }
                val fleet = fleet(store)
                delay(5.seconds)
                store.write(Feed.OPERATOR) { EvacuationRecord("evacuate/south", it, "south", false) }
                store.write(Feed.OPERATOR) { EvacuationRecord("evacuate/north", it, "north", true) }
                delay(2.seconds)
                val leader = fleet.leaders.single()
                store.restoreAfterOutage(mapOf(Feed.OPERATOR to 2))
                if (restartLeader) fleet.kill(leader)
                repeat(10) {
                    delay(100.milliseconds)
                    fleet.running.forEach { ("north" in it.state.evacuatedDataCentres()) shouldBe true }
                }
                store.write(Feed.OPERATOR) { EvacuationRecord("evacuate/north", it, "north", true) }
                store.write(Feed.OPERATOR) { EvacuationRecord("evacuate/south", it, "south", false) }
                repeat(40) {
                    delay(100.milliseconds)
                    fleet.running.forEach { ("north" in it.state.evacuatedDataCentres()) shouldBe true }
                }
                fleet.running.forEach { it.state.evacuatedDataCentres() shouldBe setOf("north") }
                store.write(Feed.OPERATOR) { EvacuationRecord("evacuate/north", it, "north", false) }
                delay(1.seconds)
                fleet.running.forEach { it.state.evacuatedDataCentres() shouldBe emptySet() }
                fleet.running.toList().forEach { fleet.kill(it) }
            }
        }

    @Test
    fun `what the store no longer has counts as withdrawn when it is not written again`() =
        runTest {
            val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }
            store.write(Feed.OPERATOR) { EvacuationRecord("evacuate/south", it, "south", true) }
            store.write(Feed.OPERATOR) { RolloutRecord("rollout/shop", it, "shop", order) }
            val fleet = fleet(store)
            delay(5.seconds)
            store.restoreAfterOutage(mapOf(Feed.OPERATOR to 1))
            delay(5.seconds)
            fleet.running.forEach {
                it.state.evacuatedDataCentres() shouldBe emptySet()
                it.state.orders() shouldBe emptyMap()
            }
        }

    @Test
    fun `a rollout whose order is written again keeps its phase and its age`() =
        runTest {
            val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }
            val fleet = fleet(store)
            delay(5.seconds)
            store.write(Feed.OPERATOR) { planRecord(2, it) }
            store.write(Feed.OPERATOR) { RolloutRecord("rollout/shop", it, "shop", order) }
            delay(2.seconds)
            store.restoreAfterOutage(mapOf(Feed.OPERATOR to 1))
            delay(1.seconds)
            fleet.running.forEach { it.state.orders().keys shouldBe setOf("shop") }
            store.write(Feed.OPERATOR) { RolloutRecord("rollout/shop", it, "shop", order) }
            delay(4.seconds)
            fleet.running.forEach { node ->
                node.state.orders().keys shouldBe setOf("shop")
                (node.state.orderAge("shop") > 8.seconds) shouldBe true
            }
        }

    /** The copy has the announcement of the rollout, so that the version would be on trial again. */
    @Test
    fun `the verdict that the store lost is written again and holds meanwhile`() =
        runTest {
            for (keptVerdicts in 0..1) {
                val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }
                store.write(Feed.OPERATOR) { RolloutRecord("rollout/shop", it, "shop", order) }
                val rolledBack = RolloutVerdict("v2", RolloutOutcome.ROLLED_BACK)
                listOf(RolloutVerdict("v2", RolloutOutcome.RUNNING), rolledBack).forEach { verdict ->
                    store.write(Feed.VERDICTS) { VerdictRecord("rollout/shop", it, "shop", verdict) }
                }
                val fleet = fleet(store)
                delay(5.seconds)
                store.restoreAfterOutage(mapOf(Feed.VERDICTS to keptVerdicts))
                repeat(30) {
                    delay(100.milliseconds)
                    fleet.running.forEach {
                        it.state
                            .rollouts()
                            .getValue("shop")
                            .phase shouldBe RolloutPhase.ROLLED_BACK
                    }
                }
                store.verdict() shouldBe rolledBack
                fleet.running.toList().forEach { fleet.kill(it) }
            }
        }
}
