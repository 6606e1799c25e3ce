package dev.goldcrestquay.benchmarks

import com.github.michaelbull.result.Ok
import dev.goldcrestquay.benchmarks.fleet.FakeFleet
import dev.goldcrestquay.benchmarks.fleet.fuzzEnvironment
import dev.goldcrestquay.contract.VerdictKind
import dev.goldcrestquay.contract.environment
import dev.goldcrestquay.link.LoadReport
import dev.goldcrestquay.machine.ListedVm
import dev.goldcrestquay.machine.MemberStatus
import dev.goldcrestquay.move.EvidenceKey
import dev.goldcrestquay.routing.Choice
import io.kotest.assertions.withClue
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class FleetTest {
    private val dataCentres = listOf("a", "b", "c")

    private fun fleetTest(
        size: Int,
        test: suspend TestScope.(FakeFleet) -> Unit,
    ) = runTest(timeout = 5.minutes) {
        val fleet = FakeFleet(this, seed = 4)
        fleet.publish(fuzzEnvironment)
        repeat(size) { fleet.start("vm-$it", dataCentres[it % 3]) }
        delay(8.seconds)
        test(fleet)
    }

    /** The names of the members that each entry VM counts as alive, with the entry VM's own name. */
    private fun FakeFleet.alive() =
        vms.values.map { vm ->
            vm.name to
                vm.entryVm.members
                    .all()
                    .filter { it.status == MemberStatus.ALIVE }
                    .map { it.name }
                    .toSet()
        }

    private fun FakeFleet.generations() = vms.values.map { it.entryVm.environments.state.generation }.toSet()

    /** The data centres of the targets that the entry VM called [name] chooses for a dozen calls. */
    private fun FakeFleet.chosenDataCentres(name: String): Set<String> {
        val table =
            vms
                .getValue(name)
                .entryVm.services
                .tableOf("desk")!!
        return List(12) { table.reserve(1.seconds) }.filterIsInstance<Choice.Reserved>().map { it.target.dataCentre }.toSet()
    }

    @Test
    fun `a data centre taken out gets no calls after three seconds, also from VMs cut off from the log`() =
        fleetTest(9) { fleet ->
            fleet.cutFromLog += listOf("vm-0", "vm-4")
            fleet.publish(fuzzEnvironment.copy(dataCentresOut = setOf("b")))
            delay(3.seconds)
            for (name in fleet.vms.keys) withClue(name) { fleet.chosenDataCentres(name) shouldBe setOf("a", "c") }
        }

    @Test
    fun `when half of the VMs die at once, the others neither count them as alive nor place services on them`() =
        fleetTest(16) { fleet ->
            repeat(8) { fleet.kill("vm-${it * 2}") }
            delay(20.seconds)
            fleet.alive().toMap() shouldBe fleet.vms.keys.associateWith { fleet.vms.keys.toSet() }
            val carriers =
                fleet.vms.values
                    .map { vm ->
                        vm.entryVm.control.placement
                            .carriersOf("desk")
                            .map { it.name }
                    }.toSet()
            carriers.size shouldBe 1
            fleet.vms.keys.containsAll(carriers.single()) shouldBe true
        }

    @Test
    fun `members converge with a VM list that contains a stopped VM and lacks running ones`() =
        fleetTest(4) { fleet ->
            fleet.listedVms = { listOf(ListedVm("gone", "a", "gone"), ListedVm("vm-1", "b", "vm-1")) }
            fleet.start("new", "c")
            delay(25.seconds)
            fleet.alive().toMap() shouldBe fleet.vms.keys.associateWith { fleet.vms.keys.toSet() }
        }

    @Test
    fun `data centres partitioned for an hour follow the log and agree on the members when the partition ends`() =
        fleetTest(5) { fleet ->
            val inside = setOf("vm-0", "vm-3")
            fleet.canReach = { from, to -> (from in inside) == (to in inside) }
            delay(30.minutes)
            fleet.publish(fuzzEnvironment.copy(dataCentresOut = setOf("b")))
            delay(30.minutes)
            fleet.generations() shouldBe setOf(fleet.expectedState().generation)
            fleet.chosenDataCentres("vm-0") shouldBe setOf("a", "c")
            fleet.canReach = { _, _ -> true }
            delay(60.seconds)
            fleet.alive().toMap() shouldBe fleet.vms.keys.associateWith { fleet.vms.keys.toSet() }
        }

    @Test
    fun `when all VMs are replaced one after another during a log outage, the new ones keep the generation and are ready`() =
        fleetTest(5) { fleet ->
            fleet.publish(fuzzEnvironment.copy(dataCentresOut = setOf("c")))
            delay(3.seconds)
            val generation = fleet.expectedState().generation
            fleet.log.down = true
            for (old in fleet.vms.keys.toList()) {
                fleet.start("$old-next", "a")
                delay(12.seconds)
                fleet.vms
                    .getValue(old)
                    .entryVm.control
                    .leave()
                delay(2.seconds)
                fleet.kill(old)
            }
            fleet.generations() shouldBe setOf(generation)
            fleet.vms.values
                .map { it.entryVm.ready }
                .toSet() shouldBe setOf(true)
        }

    @Test
    fun `when all VMs are replaced at once during a log outage, the new ones become ready only when the log is back`() =
        fleetTest(4) { fleet ->
            fleet.log.down = true
            fleet.vms.keys
                .toList()
                .forEach { fleet.kill(it) }
            repeat(4) { fleet.start("next-$it", dataCentres[it % 3]) }
            delay(30.seconds)
            fleet.vms.values
                .map { it.entryVm.ready }
                .toSet() shouldBe setOf(false)
            fleet.log.down = false
            delay(5.seconds)
            fleet.vms.values
                .map { it.entryVm.ready }
                .toSet() shouldBe setOf(true)
        }

    @Test
    fun `probes of a target stay within their rate limit while members join, leave and disagree about who is alive`() =
        fleetTest(3) { fleet ->
            val probes = mutableMapOf<String, MutableList<Duration>>()
            fleet.probe = { target ->
                probes.getOrPut(target.name) { mutableListOf() } += fleet.clock()
                Ok(LoadReport(0, 1, 3_600_000))
            }
            repeat(16) { number ->
                fleet.start("more-$number", dataCentres[number % 3])
                fleet.canReach = { from, to -> (from.hashCode() + number) % 3 == (to.hashCode() + number) % 3 }
                delay(9.seconds)
                if (number % 3 == 0) fleet.kill(fleet.vms.keys.first())
            }
            // The window is a little under a second, as link delays of up to 5 ms shift the probes.
            val mostInASecond =
                probes.values.maxOf { times -> times.maxOf { start -> times.count { it >= start && it < start + 990.milliseconds } } }
            mostInASecond shouldBe 1
            probes.values.maxOf { it.size / (16 * 9.0) } shouldBeLessThanOrEqual fuzzEnvironment.measuring.probesPerSecond
        }

    @Test
    fun `failures visible only in the sum over entry VMs stop a version within a second and put one verdict on the log`() =
        runTest(timeout = 5.minutes) {
            val fleet = FakeFleet(this, seed = 4)
            val deadline = Instant.ofEpochMilli(FakeFleet.EPOCH_MILLISECONDS + 1.hours.inWholeMilliseconds).toString()
            fleet.publish(
                environment("moving") {
                    region("north") { dataCentres.forEach { dataCentre(it) } }
                    service("desk") { repeat(4) { target("t$it", "10.0.0.$it:80", "a", version = if (it < 2) "1" else "2") } }
                    move("desk-to-2", "desk", "1" to "2", deadline, steps = arrayOf(100.0 to 600_000L))
                },
            )
            repeat(6) { fleet.start("vm-$it", dataCentres[it % 3]) }
            delay(8.seconds)
            val carriers =
                fleet.vms.values
                    .first()
                    .entryVm.control.placement
                    .carriersOf("desk")
                    .map { fleet.vms.getValue(it.name).entryVm }
            for (vm in carriers) {
                repeat(5000) { vm.evidence.record(EvidenceKey("desk-to-2", 1, "t0", 0), false, 10.0) }
                repeat(700) { vm.evidence.record(EvidenceKey("desk-to-2", 1, "t2", 0), it < 4, 10.0) }
            }
            delay(1.seconds)
            carriers.size shouldBe 3
            carriers.map { it.moves.versionShare(it.environments.state, "desk")?.toShare } shouldBe carriers.map { 0.0 }
            delay(5.seconds)
            val verdicts =
                fleet.vms.values
                    .map {
                        it.entryVm.environments.state.moves["desk-to-2"]
                            ?.verdict
                    }.toSet()
            verdicts.single()?.kind shouldBe VerdictKind.TAKEN_BACK
        }
}
