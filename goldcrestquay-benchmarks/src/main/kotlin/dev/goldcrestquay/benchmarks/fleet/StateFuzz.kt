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

/**
 * One event in the history of a fleet.
 *
 * A `number` is the index of a data centre or, modulo the number of entry VMs, of a running entry VM.
 */
sealed interface FleetAction {
    /** An operator publishes a new [entryMinimum] for every service. */
    data class Publish(
        val entryMinimum: Int,
    ) : FleetAction

    /** An operator takes one data centre out of service and brings all others back. */
    data class DataCentreOut(
        val number: Int,
    ) : FleetAction

    /** Two operators publish different changes based on the same generation. */
    data object ConcurrentPublish : FleetAction

    /** A change that breaks the environment's rules reaches the log without the checks of the command line. */
    data object InvalidRecord : FleetAction

    /** An operator replaces the environment with a complete document, whatever generation is in force. */
    data object OperatorRestart : FleetAction

    /** The log's last record is appended a second time. */
    data object DuplicateLastRecord : FleetAction

    data object LogDown : FleetAction

    data object LogUp : FleetAction

    /** Appends to the log take effect, but their replies are lost. */
    data object RepliesLost : FleetAction

    /** One entry VM cannot reach the log. */
    data class CutFromLog(
        val number: Int,
    ) : FleetAction

    /** The entry VMs of one data centre and those of all others cannot reach each other. */
    data class Partition(
        val number: Int,
    ) : FleetAction

    /** The log works again, and every entry VM can reach it and all peers; a lowered retention stays. */
    data object Heal : FleetAction

    data class Kill(
        val number: Int,
    ) : FleetAction

    /** A new entry VM starts. */
    data object Start : FleetAction

    /** An entry VM that was paused for a long time appends a snapshot of the state from before its pause. */
    data class StaleSnapshot(
        val recordsBack: Int,
    ) : FleetAction

    /** From now on the log retains only its newest [records] records. */
    data class SetRetention(
        val records: Int,
    ) : FleetAction

    data class Wait(
        val seconds: Int,
    ) : FleetAction
}

/** Generates histories of a fleet. */
val fleetHistories: Arb<List<FleetAction>> =
    Arb.list(
        Arb.choice(
            Arb.int(1..5).map { FleetAction.Publish(it) },
            Arb.int(0..2).map { FleetAction.DataCentreOut(it) },
            Arb.constant(FleetAction.ConcurrentPublish),
            Arb.constant(FleetAction.InvalidRecord),
            Arb.constant(FleetAction.OperatorRestart),
            Arb.constant(FleetAction.DuplicateLastRecord),
            Arb.constant(FleetAction.LogDown),
            Arb.constant(FleetAction.LogUp),
            Arb.constant(FleetAction.RepliesLost),
            Arb.int(0..9).map { FleetAction.CutFromLog(it) },
            Arb.int(0..2).map { FleetAction.Partition(it) },
            Arb.constant(FleetAction.Heal),
            Arb.int(0..9).map { FleetAction.Kill(it) },
            Arb.constant(FleetAction.Start),
            Arb.int(1..30).map { FleetAction.StaleSnapshot(it) },
            Arb.int(5..60).map { FleetAction.SetRetention(it) },
            Arb.int(1..40).map { FleetAction.Wait(it) },
        ),
        5..40,
    )

private val DATA_CENTRES = listOf("a", "b", "c")

/** A data centre that no environment defines; only [FleetAction.InvalidRecord] uses it. */
private const val UNDEFINED_DATA_CENTRE = "nowhere"

/** The environment that fuzzed fleets start with. */
val fuzzEnvironment: Environment =
    environment("fuzz") {
        region("north") { DATA_CENTRES.forEach { dataCentre(it) } }
        service("desk") { repeat(6) { target("t$it", "10.0.0.$it:80", DATA_CENTRES[it % 3]) } }
    }

/** Runs one history; throws if an invariant of the shared state is violated or the entry VMs do not converge at the end. */
fun runFleetHistory(
    history: List<FleetAction>,
    seed: Long,
): Unit =
    runTest(timeout = 10.minutes) {
        FleetHistoryRunner(this, seed).run(history)
    }

private class FleetHistoryRunner(
    scope: TestScope,
    seed: Long,
) {
    private val fleet = FakeFleet(scope, seed)

    /** The generation that each entry VM had at the last check, by its name. */
    private val lastGenerations = mutableMapOf<String, Long>()

    /** The expected state after each record of the log, by the record's offset. */
    private var statesByOffset = mutableMapOf(0L to EnvironmentState())

    /** The expected state after the newest record of the log. */
    private var replayedState = EnvironmentState()
    private var nextVmNumber = 0
    private val acceptanceOracle = AcceptanceOracle()

    suspend fun run(history: List<FleetAction>) {
        fleet.lossProbability = LOSS_PROBABILITY
        fleet.publish(fuzzEnvironment)
        repeat(INITIAL_VMS) { startNextVm() }
        advance(STARTUP_SECONDS)
        for (action in history) {
            perform(action)
            advance(1)
        }
        heal()
        fleet.lossProbability = 0.0
        advance(SETTLE_SECONDS)
        if (fleet.vms.values.none { it.entryVm.environments.complete }) publishRestart()
        checkConverged()
    }

    private fun startNextVm() {
        val number = nextVmNumber++
        fleet.start("vm-$number", DATA_CENTRES[number % DATA_CENTRES.size])
    }

    /** Lets virtual time pass and checks the invariants [CHECKS_PER_SECOND] times a second. */
    private suspend fun advance(seconds: Int) {
        repeat(seconds * CHECKS_PER_SECOND) {
            delay(1000.milliseconds / CHECKS_PER_SECOND)
            checkInvariants()
        }
    }

    private suspend fun perform(action: FleetAction) {
        when (action) {
            is FleetAction.Publish ->
                fleet.publish(
                    changedEnvironment {
                        it.copy(
                            services =
                                it.services.map { s ->
                                    s.copy(entryMinimum = action.entryMinimum)
                                },
                        )
                    },
                )
            is FleetAction.DataCentreOut ->
                fleet.publish(changedEnvironment { it.copy(dataCentresOut = setOf(DATA_CENTRES[action.number])) })
            FleetAction.ConcurrentPublish -> publishConcurrently()
            FleetAction.InvalidRecord -> fleet.publish(changedEnvironment { it.copy(dataCentresOut = setOf(UNDEFINED_DATA_CENTRE)) })
            FleetAction.OperatorRestart -> fleet.log.append(LogRecords.write(Restart("restart-${replayedState.offset}", fuzzEnvironment)))
            FleetAction.DuplicateLastRecord ->
                fleet.log.history
                    .lastOrNull()
                    ?.let { fleet.log.append(it.text) }
            FleetAction.LogDown -> fleet.log.down = true
            FleetAction.LogUp -> fleet.log.down = false
            FleetAction.RepliesLost -> fleet.log.losesReplies = true
            is FleetAction.CutFromLog -> vmNameOf(action.number)?.let { fleet.cutFromLog += it }
            is FleetAction.Partition -> partition(DATA_CENTRES[action.number])
            FleetAction.Heal -> heal()
            is FleetAction.Kill -> if (fleet.vms.size > MINIMUM_VMS) vmNameOf(action.number)?.let { fleet.kill(it) }
            FleetAction.Start -> if (fleet.vms.size < MAXIMUM_VMS) startNextVm()
            is FleetAction.StaleSnapshot -> appendStaleSnapshot(action.recordsBack)
            is FleetAction.SetRetention -> fleet.log.retained = action.records
            is FleetAction.Wait -> advance(action.seconds)
        }
    }

    private fun changedEnvironment(change: (Environment) -> Environment): Environment =
        change(fleet.expectedState().environment ?: fuzzEnvironment)

    private fun publishConcurrently() {
        val before = fleet.expectedState()
        for (number in 1..2) {
            val services = before.environment!!.services.map { it.copy(callsPerSecond = 1000 + number) }
            fleet.publish(before.environment!!.copy(services = services), before.generation, before.environment)
        }
    }

    private fun vmNameOf(number: Int): String? =
        fleet.vms.keys
            .toList()
            .let { if (it.isEmpty()) null else it[number % it.size] }

    private fun partition(dataCentre: String) {
        val isInside = { name: String ->
            fleet.vms[name]
                ?.entryVm
                ?.members
                ?.self
                ?.dataCentre == dataCentre
        }
        fleet.canReach = { from, to -> isInside(from) == isInside(to) }
    }

    private fun heal() {
        fleet.log.down = false
        fleet.log.losesReplies = false
        fleet.cutFromLog.clear()
        fleet.canReach = { _, _ -> true }
    }

    private fun appendStaleSnapshot(recordsBack: Int) {
        replay()
        val offset = (replayedState.offset - recordsBack).coerceAtLeast(1)
        val state = statesByOffset[offset] ?: return
        val at = fleet.snapshots.append(LogRecords.write(Snapshot(state, "paused"))).get() ?: return
        fleet.log.append(LogRecords.write(SnapshotNote(at, state.offset, state.generation)))
    }

    /**
     * Publishes a restart.
     *
     * If retention dropped records before any entry VM read them, no entry VM may consider its state complete, and only an operator's
     * restart ends this.
     */
    private suspend fun publishRestart() {
        val logLink = LogLink(append = { fleet.log.append(it) }, read = { fleet.log.read(it) })
        Publisher(logLink, logLink).restart("restart", fuzzEnvironment)
        advance(RESTART_SECONDS)
    }

    /** Applies the log's new records to the expected state, and checks its generation against the oracle. */
    private fun replay() {
        for (entry in fleet.log.history.drop(replayedState.offset.toInt())) {
            val record = LogRecords.read(entry.text)
            replayedState = replayedState.after(entry.offset, record)
            statesByOffset[entry.offset] = replayedState
            val expected = acceptanceOracle.after(entry.offset, record)
            check(replayedState.generation == expected) { "generation ${replayedState.generation} instead of $expected after $record" }
        }
    }

    /**
     * Checks that no entry VM's generation decreases, that every complete state equals the log's at its offset, and that the lease has at
     * most one holder.
     */
    private fun checkInvariants() {
        replay()
        for (vm in fleet.vms.values) {
            val state = vm.entryVm.environments.state
            val before = lastGenerations[vm.name] ?: 0
            check(state.generation >= before) { "${vm.name} went back from generation $before to ${state.generation}" }
            lastGenerations[vm.name] = state.generation
            if (vm.entryVm.environments.complete) {
                check(
                    state == statesByOffset[state.offset],
                ) { "${vm.name} differs from the log at offset ${state.offset}: $state instead of ${statesByOffset[state.offset]}" }
            }
        }
        val leaseHolders =
            fleet.vms.values
                .filter { it.entryVm.leases.heldUntil("desk") > fleet.clock() }
                .map { it.name }
        check(leaseHolders.size <= 1) { "$leaseHolders hold the same lease" }
    }

    /** Checks that every entry VM is complete, has the log's latest generation and counts exactly the running entry VMs as alive. */
    private fun checkConverged() {
        val runningVms = fleet.vms.keys.toSortedSet()
        for (vm in fleet.vms.values) {
            check(vm.entryVm.environments.complete) { "${vm.name} is incomplete" }
            check(vm.entryVm.environments.state.generation == replayedState.generation) {
                "${vm.name} is at generation ${vm.entryVm.environments.state.generation}, the log at ${replayedState.generation}"
            }
            val alive =
                vm.entryVm.members
                    .all()
                    .filter { it.status == MemberStatus.ALIVE }
                    .map { it.name }
                    .toSortedSet()
            check(alive == runningVms) { "${vm.name} sees $alive alive, but $runningVms run" }
        }
    }

    private companion object {
        const val LOSS_PROBABILITY = 0.05
        const val INITIAL_VMS = 5
        const val MINIMUM_VMS = 2
        const val MAXIMUM_VMS = 9
        const val STARTUP_SECONDS = 5
        const val SETTLE_SECONDS = 45
        const val RESTART_SECONDS = 5
        const val CHECKS_PER_SECOND = 4
    }
}

/**
 * An independent model of which generation is in force.
 *
 * It looks only at the base and the id of each change, and at [UNDEFINED_DATA_CENTRE], which marks the only invalid records in histories.
 */
private class AcceptanceOracle {
    private var generation = 0L
    private val seenIds = mutableSetOf<String>()

    /** Returns the generation in force after the record at [offset]; a record that cannot be read is null. */
    fun after(
        offset: Long,
        record: LogRecord?,
    ): Long {
        val accepted =
            when (record) {
                is EnvironmentChange ->
                    seenIds.add(record.id) && record.base == generation && UNDEFINED_DATA_CENTRE !in record.dataCentresOut.orEmpty()
                is Restart -> true
                else -> false
            }
        if (accepted) generation = offset
        return generation
    }
}
