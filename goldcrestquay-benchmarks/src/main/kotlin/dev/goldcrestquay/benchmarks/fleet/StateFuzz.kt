package dev.goldcrestquay.benchmarks.fleet

import com.github.michaelbull.result.get
import dev.goldcrestquay.contract.Environment
import dev.goldcrestquay.contract.EnvironmentChange
import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.contract.LogRecord
import dev.goldcrestquay.contract.LogRecords
import dev.goldcrestquay.contract.Restart
import dev.goldcrestquay.contract.Snapshot
import dev.goldcrestquay.contract.SnapshotNote
import dev.goldcrestquay.contract.environment
import dev.goldcrestquay.link.LogLink
import dev.goldcrestquay.machine.MemberStatus
import dev.goldcrestquay.machine.Publisher
import io.kotest.property.Arb
import io.kotest.property.arbitrary.choice
import io.kotest.property.arbitrary.constant
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.map
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** One thing that happens to a fleet. */
sealed interface FleetAction {
    data class Publish(
        val entryMinimum: Int,
    ) : FleetAction

    data class DataCentreOut(
        val number: Int,
    ) : FleetAction

    /** Two operators publish on the same generation. */
    data object Race : FleetAction

    /** A record that breaks the document's rules comes past the command line. */
    data object BadRecord : FleetAction

    /** An operator starts over from a whole document. */
    data object OperatorRestart : FleetAction

    data object RepeatLastRecord : FleetAction

    data object LogDown : FleetAction

    data object LogUp : FleetAction

    data object RepliesLost : FleetAction

    data class CutFromLog(
        val number: Int,
    ) : FleetAction

    /** A data centre's entry VMs lose the others. */
    data class Partition(
        val number: Int,
    ) : FleetAction

    data object Heal : FleetAction

    data class Kill(
        val number: Int,
    ) : FleetAction

    data object Start : FleetAction

    /** A VM paused for long appends the state it had before its pause. */
    data class StaleSnapshot(
        val recordsBack: Int,
    ) : FleetAction

    data class Retain(
        val records: Int,
    ) : FleetAction

    data class Wait(
        val seconds: Int,
    ) : FleetAction
}

/** Histories of what may happen to a fleet. */
val fleetHistories: Arb<List<FleetAction>> =
    Arb.list(
        Arb.choice(
            Arb.int(1..5).map { FleetAction.Publish(it) },
            Arb.int(0..2).map { FleetAction.DataCentreOut(it) },
            Arb.constant(FleetAction.Race),
            Arb.constant(FleetAction.BadRecord),
            Arb.constant(FleetAction.OperatorRestart),
            Arb.constant(FleetAction.RepeatLastRecord),
            Arb.constant(FleetAction.LogDown),
            Arb.constant(FleetAction.LogUp),
            Arb.constant(FleetAction.RepliesLost),
            Arb.int(0..9).map { FleetAction.CutFromLog(it) },
            Arb.int(0..2).map { FleetAction.Partition(it) },
            Arb.constant(FleetAction.Heal),
            Arb.int(0..9).map { FleetAction.Kill(it) },
            Arb.constant(FleetAction.Start),
            Arb.int(1..30).map { FleetAction.StaleSnapshot(it) },
            Arb.int(5..60).map { FleetAction.Retain(it) },
            Arb.int(1..40).map { FleetAction.Wait(it) },
        ),
        5..40,
    )

private val DATA_CENTRES = listOf("a", "b", "c")

/** The document that fuzzed fleets start with. */
val fuzzEnvironment: Environment =
    environment("fuzz") {
        region("north") { DATA_CENTRES.forEach { dataCentre(it) } }
        service("desk") { repeat(6) { target("t$it", "10.0.0.$it:80", DATA_CENTRES[it % 3]) } }
    }

/** Runs one history and throws where a promise about shared state is broken. */
fun runFleetHistory(
    history: List<FleetAction>,
    seed: Long,
): Unit =
    runTest(timeout = 10.minutes) {
        FleetHistory(this, seed).run(history)
    }

private class FleetHistory(
    scope: TestScope,
    seed: Long,
) {
    private val fleet = FakeFleet(scope, seed)
    private val generations = mutableMapOf<String, Long>()
    private var states = mutableMapOf(0L to EnvironmentState())
    private var replayed = EnvironmentState()
    private var numbers = 0
    private val acceptance = AcceptanceOracle()

    suspend fun run(history: List<FleetAction>) {
        fleet.lossShare = LOSS_SHARE
        fleet.publish(fuzzEnvironment)
        repeat(FIRST_VMS) { startNext() }
        advance(START_SECONDS)
        for (action in history) {
            perform(action)
            advance(1)
        }
        heal()
        fleet.lossShare = 0.0
        advance(QUIET_SECONDS)
        if (fleet.vms.values.none { it.vm.environments.complete }) restart()
        checkConverged()
    }

    private fun startNext() {
        val number = numbers++
        fleet.start("vm-$number", DATA_CENTRES[number % DATA_CENTRES.size])
    }

    private suspend fun advance(seconds: Int) {
        repeat(seconds * CHECKS_PER_SECOND) {
            delay(1000.milliseconds / CHECKS_PER_SECOND)
            checkAlways()
        }
    }

    private suspend fun perform(action: FleetAction) {
        when (action) {
            is FleetAction.Publish ->
                fleet.publish(
                    changed {
                        it.copy(
                            services =
                                it.services.map { s ->
                                    s.copy(entryMinimum = action.entryMinimum)
                                },
                        )
                    },
                )
            is FleetAction.DataCentreOut -> fleet.publish(changed { it.copy(dataCentresOut = setOf(DATA_CENTRES[action.number])) })
            FleetAction.Race -> race()
            FleetAction.BadRecord -> fleet.publish(changed { it.copy(dataCentresOut = setOf("nowhere")) })
            FleetAction.OperatorRestart -> fleet.log.append(LogRecords.write(Restart("restart-${replayed.offset}", fuzzEnvironment)))
            FleetAction.RepeatLastRecord ->
                fleet.log.history
                    .lastOrNull()
                    ?.let { fleet.log.append(it.text) }
            FleetAction.LogDown -> fleet.log.down = true
            FleetAction.LogUp -> fleet.log.down = false
            FleetAction.RepliesLost -> fleet.log.losesReplies = true
            is FleetAction.CutFromLog -> nameOf(action.number)?.let { fleet.cutFromLog += it }
            is FleetAction.Partition -> partition(DATA_CENTRES[action.number])
            FleetAction.Heal -> heal()
            is FleetAction.Kill -> if (fleet.vms.size > MINIMUM_VMS) nameOf(action.number)?.let { fleet.kill(it) }
            FleetAction.Start -> if (fleet.vms.size < MAXIMUM_VMS) startNext()
            is FleetAction.StaleSnapshot -> staleSnapshot(action.recordsBack)
            is FleetAction.Retain -> fleet.log.retained = action.records
            is FleetAction.Wait -> advance(action.seconds)
        }
    }

    private fun changed(change: (Environment) -> Environment): Environment = change(fleet.truth().environment ?: fuzzEnvironment)

    private fun race() {
        val before = fleet.truth()
        for (minimum in 1..2) {
            val services = before.environment!!.services.map { it.copy(callsPerSecond = 1000 + minimum) }
            fleet.publish(before.environment!!.copy(services = services), before.generation, before.environment)
        }
    }

    private fun nameOf(number: Int): String? =
        fleet.vms.keys
            .toList()
            .let { if (it.isEmpty()) null else it[number % it.size] }

    private fun partition(dataCentre: String) {
        val inside = { name: String ->
            fleet.vms[name]
                ?.vm
                ?.members
                ?.self
                ?.dataCentre == dataCentre
        }
        fleet.linked = { from, to -> inside(from) == inside(to) }
    }

    private fun heal() {
        fleet.log.down = false
        fleet.log.losesReplies = false
        fleet.cutFromLog.clear()
        fleet.linked = { _, _ -> true }
    }

    private fun staleSnapshot(recordsBack: Int) {
        replay()
        val offset = (replayed.offset - recordsBack).coerceAtLeast(1)
        val state = states[offset] ?: return
        val at = fleet.snapshots.append(LogRecords.write(Snapshot(state, "paused"))).get() ?: return
        fleet.log.append(LogRecords.write(SnapshotNote(at, state.offset, state.generation)))
    }

    /** Records lapsed before any VM read them: no VM may claim to know the state, and an operator starts over. */
    private suspend fun restart() {
        val link = LogLink(append = { fleet.log.append(it) }, read = { fleet.log.read(it) })
        Publisher(link, link).restart("restart", fuzzEnvironment)
        advance(RESTART_SECONDS)
    }

    private fun replay() {
        for (entry in fleet.log.history.drop(replayed.offset.toInt())) {
            val record = LogRecords.read(entry.text)
            replayed = replayed.after(entry.offset, record)
            states[entry.offset] = replayed
            val expected = acceptance.after(entry.offset, record)
            check(replayed.generation == expected) { "generation ${replayed.generation} instead of $expected after $record" }
        }
    }

    private fun checkAlways() {
        replay()
        for (vm in fleet.vms.values) {
            val state = vm.vm.environments.state
            val before = generations[vm.name] ?: 0
            check(state.generation >= before) { "${vm.name} went back from generation $before to ${state.generation}" }
            generations[vm.name] = state.generation
            if (vm.vm.environments.complete) {
                check(
                    state == states[state.offset],
                ) { "${vm.name} differs from the log at offset ${state.offset}: $state instead of ${states[state.offset]}" }
            }
        }
        val holders =
            fleet.vms.values
                .filter { it.vm.leases.heldUntil("desk") > fleet.clock() }
                .map { it.name }
        check(holders.size <= 1) { "$holders hold one lease" }
    }

    private fun checkConverged() {
        val running = fleet.vms.keys.toSortedSet()
        for (vm in fleet.vms.values) {
            check(vm.vm.environments.complete) { "${vm.name} is incomplete" }
            check(vm.vm.environments.state.generation == replayed.generation) {
                "${vm.name} is at generation ${vm.vm.environments.state.generation}, the log at ${replayed.generation}"
            }
            val alive =
                vm.vm.members
                    .all()
                    .filter { it.status == MemberStatus.ALIVE }
                    .map { it.name }
                    .toSortedSet()
            check(alive == running) { "${vm.name} sees $alive alive, but $running run" }
        }
    }

    private companion object {
        const val LOSS_SHARE = 0.05
        const val FIRST_VMS = 5
        const val MINIMUM_VMS = 2
        const val MAXIMUM_VMS = 9
        const val START_SECONDS = 5
        const val QUIET_SECONDS = 45
        const val RESTART_SECONDS = 5
        const val CHECKS_PER_SECOND = 4
    }
}

/** Says which generation is in force, from nothing but bases, identifiers and the one kind of bad record that histories hold. */
private class AcceptanceOracle {
    private var generation = 0L
    private val seen = mutableSetOf<String>()

    fun after(
        offset: Long,
        record: LogRecord?,
    ): Long {
        val accepted =
            when (record) {
                is EnvironmentChange -> seen.add(record.id) && record.base == generation && "nowhere" !in record.dataCentresOut.orEmpty()
                is Restart -> true
                else -> false
            }
        if (accepted) generation = offset
        return generation
    }
}
