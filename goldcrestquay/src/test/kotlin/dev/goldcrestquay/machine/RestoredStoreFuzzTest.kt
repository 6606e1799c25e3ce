package dev.goldcrestquay.machine

import dev.goldcrestquay.move.RolloutOrder
import dev.goldcrestquay.planRecord
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.targetRecord
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Random histories of changes, outages, restores and restarts of entry VMs. */
@OptIn(ExperimentalCoroutinesApi::class)
class RestoredStoreFuzzTest {
    /** The operators and targets: what they want, and what they write again when the store has lost it. */
    private class Writers(
        private val scope: TestScope,
        private val store: FakeStore,
        private val random: Random,
    ) {
        var version = 1L
        val evacuated = mutableSetOf<String>()
        var order: RolloutOrder? = null
        val targets = HashMap<String, RegisteredTarget>()

        /** When each wish was acknowledged last; a restore does not change that. */
        val evacuatedAt = HashMap<String, Duration>()
        val leftAt = HashMap<String, Duration>()

        /** The targets whose departure the store took too shortly before an outage, or while it was unstable. */
        val leftUnnoticed = HashSet<String>()
        var planAt = Duration.ZERO
        private var started = 0

        fun changePlan() {
            version += random.nextLong(1, 4)
            planAt = scope.currentTime.milliseconds
            writePlan()
        }

        fun toggleEvacuation(dataCentre: String) {
            if (!evacuated.remove(dataCentre)) evacuated += dataCentre
            evacuatedAt[dataCentre] = scope.currentTime.milliseconds
            writeEvacuation(dataCentre)
        }

        fun toggleOrder() {
            order = if (order == null) RolloutOrder("shop", "v${random.nextInt(2, 5)}", 60.seconds) else null
            writeOrder()
        }

        fun startTarget() {
            val id = "t${started++}"
            targets[id] = registeredTarget(id, startedAt = scope.currentTime, heartbeat = 1)
            writeTarget(id)
        }

        fun stopTarget() {
            val id = targets.keys.randomOrNull(random) ?: return
            val target = targets.remove(id) ?: return
            leftAt[id] = scope.currentTime.milliseconds
            val record: (Long) -> SharedRecord =
                if (random.nextBoolean()) {
                    { TargetRecord(id, it, null) }
                } else {
                    { targetRecord(target.copy(phase = TargetPhase.DRAINING, heartbeat = target.heartbeat + 1), it) }
                }
            store.write(Feed.TARGETS, record)
        }

        /** Writes again what the store lacks, each kind after a time of its own. */
        fun writeAgain() {
            scope.backgroundScope.launch {
                delay(random.nextLong(500))
                writePlan()
                delay(random.nextLong(500))
                evacuatedAt.keys.forEach { writeEvacuation(it) }
                writeOrder()
            }
            targets.keys.toList().forEach { id ->
                scope.backgroundScope.launch {
                    delay(random.nextLong(1500))
                    if (id in targets) writeTarget(id)
                }
            }
            // The registrations of targets that have left expire.
            leftAt.keys.toList().forEach { id ->
                scope.backgroundScope.launch {
                    delay(random.nextLong(4500))
                    // The store may have lost a departure that nobody had read: it is known again only from now on.
                    if (id in leftUnnoticed) leftAt[id] = scope.currentTime.milliseconds
                    store.write(Feed.TARGETS) { TargetRecord(id, it, null) }
                }
            }
        }

        private fun writePlan() = store.write(Feed.OPERATOR) { planRecord(version, it) }

        private fun writeEvacuation(dataCentre: String) =
            store.write(Feed.OPERATOR) { EvacuationRecord("evacuate/$dataCentre", it, dataCentre, dataCentre in evacuated) }

        private fun writeOrder() = store.write(Feed.OPERATOR) { RolloutRecord("rollout/shop", it, "shop", order) }

        private fun writeTarget(id: String) {
            val target = targets.getValue(id).let { it.copy(heartbeat = it.heartbeat + 1) }
            targets[id] = target
            store.write(Feed.TARGETS) { targetRecord(target, it) }
        }
    }

    private class History(
        private val scope: TestScope,
        seed: Int,
    ) {
        private val random = Random(seed)
        private val store = FakeStore()
        private val writers = Writers(scope, store, random)
        private val fleet = FakeFleet(scope, store)
        private val startedAt = HashMap<FakeFleet.Node, Duration>()
        private val versions = HashMap<FakeFleet.Node, Long>()
        private var incarnation = 1L

        /** The last moment of an outage or restart; the bounds hold again [SETTLING_TIME] later. */
        private var disturbedAt = Duration.ZERO
        private var isAway = false
        private val now get() = scope.currentTime.milliseconds

        suspend fun run() {
            writers.changePlan()
            repeat(6) { writers.startTarget() }
            (1..ENTRY_VMS).forEach { start(it) }
            delay(5.seconds)
            repeat(STEPS) {
                step()
                repeat(random.nextInt(1, 15)) {
                    delay(100.milliseconds)
                    check()
                }
            }
            delay(8.seconds)
            check()
            checkConverged()
        }

        private fun start(number: Int) {
            val node = fleet.start(number, incarnation++)
            startedAt[node] = now
        }

        private suspend fun step() {
            when (random.nextInt(12)) {
                0, 1, 2 -> writers.changePlan()
                3 -> writers.toggleEvacuation(listOf("north", "south").random(random))
                4 -> writers.toggleOrder()
                5, 6 -> writers.startTarget()
                7, 8 -> writers.stopTarget().also { noteUnnoticed(disturbedAt - SETTLING_TIME) }
                9 -> restartEntryVm()
                10, 11 -> restoreStore()
            }
        }

        private fun restartEntryVm() {
            val node = fleet.running.toList().random(random)
            val number =
                node.members.self.name
                    .removePrefix("vm-")
                    .toInt()
            fleet.kill(node)
            start(number)
            disturbedAt = now
        }

        private suspend fun restoreStore() {
            store.access = { Access.REFUSED }
            isAway = true
            noteUnnoticed(now - NOTICE_TIME)
            val kept = Feed.entries.associateWith { feed -> store.size(feed) - random.nextInt(minOf(store.size(feed), MAXIMUM_LOST) + 1) }
            repeat(random.nextInt(1, 25)) {
                delay(100.milliseconds)
                check()
            }
            store.restore(kept)
            writers.writeAgain()
            store.access = { Access.SERVED }
            isAway = false
            disturbedAt = now
        }

        /** Departures since [time], or while the store is unstable, need not be known until it is stable again. */
        private fun noteUnnoticed(time: Duration) {
            val isUnstable = now <= disturbedAt + SETTLING_TIME
            writers.leftUnnoticed += writers.leftAt.filterValues { it >= if (isUnstable) disturbedAt else time }.keys
        }

        private fun check() {
            if (isAway) disturbedAt = now
            for (node in fleet.running) {
                val version =
                    node.state.routes
                        ?.plan
                        ?.version ?: continue
                withClue("${node.members.self.name} at $now") {
                    (version >= (versions[node] ?: 0)) shouldBe true
                    versions[node] = version
                    checkBounds(node, version)
                }
            }
        }

        private fun checkBounds(
            node: FakeFleet.Node,
            version: Long,
        ) {
            val calmSince = maxOf(disturbedAt + SETTLING_TIME, startedAt.getValue(node) + SETTLING_TIME)
            if (now > maxOf(calmSince, writers.planAt) + NOTICE_TIME) version shouldBe writers.version
            for ((dataCentre, changedAt) in writers.evacuatedAt) {
                if (dataCentre !in writers.evacuated || now <= maxOf(changedAt, startedAt.getValue(node)) + EVACUATION_BOUND) continue
                // While the store is away or just back, an entry VM that knew of the evacuation goes on by it.
                withClue("$dataCentre is evacuated") { (dataCentre in node.state.evacuatedDataCentres()) shouldBe true }
            }
            for ((id, leftAt) in writers.leftAt) {
                val noticedAt = if (id in writers.leftUnnoticed) maxOf(calmSince, leftAt) else leftAt
                val isBound = now > maxOf(noticedAt + NOTICE_TIME, startedAt.getValue(node) + SETTLING_TIME)
                if (isBound) withClue("$id has left at $leftAt") { node.state.isReady(id) shouldBe false }
            }
        }

        private fun checkConverged() {
            for (node in fleet.running) {
                withClue(node.members.self.name) {
                    node.state.routes
                        ?.plan
                        ?.version shouldBe writers.version
                    node.state.evacuatedDataCentres() shouldBe writers.evacuated
                    node.state.orders().mapValues { it.value.order } shouldBe listOfNotNull(writers.order).associateBy { it.service }
                    node.state
                        .targets()
                        .filter { it.target.phase == TargetPhase.READY }
                        .mapTo(HashSet()) { it.target.id } shouldBe writers.targets.keys
                }
            }
            fleet.leaders.size shouldBe 1
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `entry VMs keep up with a store that is restored again and again`(seed: Int): Unit = runTest { History(this, seed).run() }

    private companion object {
        const val ENTRY_VMS = 7
        const val STEPS = 40
        const val MAXIMUM_LOST = 12

        /** Bounds hold from then on after a disturbance of the store or the entry VM. */
        val SETTLING_TIME = 3.seconds

        /** Targets that leave get no more requests, and plans are in force, by then. */
        val NOTICE_TIME = 2.seconds

        /** An evacuation is in force by then; an unstable store may add as much again. */
        val EVACUATION_BOUND = 10.seconds

        /** More by hand: `JAVA_TOOL_OPTIONS=-Dfuzz.seeds=1000 mvn -pl goldcrestquay test -Dtest=RestoredStoreFuzzTest`. */
        @JvmStatic
        fun seeds(): List<Int> = (1..Integer.getInteger("fuzz.seeds", 20)).toList()
    }
}
