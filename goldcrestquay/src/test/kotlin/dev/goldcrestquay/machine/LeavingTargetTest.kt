package dev.goldcrestquay.machine

import dev.goldcrestquay.planRecord
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.targetRecord
import io.kotest.assertions.assertSoftly
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards that no entry VM in touch with the store uses a target two seconds after the store took the report that it leaves. */
class LeavingTargetTest {
    private enum class Departure(
        val record: (Long) -> SharedRecord,
    ) {
        REPORTED({ targetRecord(registeredTarget("left", TargetPhase.DRAINING, heartbeat = 2), it) }),
        UNREPORTED({ TargetRecord("left", it, null) }),
    }

    /** Trouble that strikes the leader. */
    private class LeaderTrouble(
        val name: String,
        val strike: suspend (FakeFleet, FakeStore, FakeFleet.Node) -> Unit,
    )

    /** The times that pass before the trouble, which vary its place within the leader's poll, and from then to the departure. */
    private data class Timing(
        val beforeTrouble: Duration,
        val afterTrouble: Duration,
    )

    private val random = Random(1)
    private val timings =
        List(30) { Timing(random.nextInt(0, 1000).milliseconds, random.nextInt(0, 1600).milliseconds) }

    private val troubles =
        listOf(
            LeaderTrouble("no trouble") { _, _, _ -> },
            LeaderTrouble("killed") { fleet, _, leader -> fleet.kill(leader) },
            LeaderTrouble("cut off from the store") { _, store, leader -> store.refuse(leader, Access.SILENT) },
            LeaderTrouble("turned away by the store") { _, store, leader -> store.refuse(leader, Access.REFUSED) },
            LeaderTrouble("turned away for a second") { _, store, leader ->
                store.refuse(leader, Access.REFUSED)
                delay(1.seconds)
                store.access = { Access.SERVED }
            },
            LeaderTrouble("cut off from all") { fleet, store, leader ->
                val address = leader.members.self.peerAddress
                fleet.connected = { from, to -> from != address && to != address }
                store.refuse(leader, Access.SILENT)
            },
        )

    private fun FakeStore.refuse(
        node: FakeFleet.Node,
        how: Access,
    ) {
        access = { if (it == node.members.self.name) how else Access.SERVED }
    }

    /** The entry VMs, other than the leader in trouble, that still use the target two seconds after its departure was written. */
    private suspend fun TestScope.usersAfterTwoSeconds(
        trouble: LeaderTrouble,
        departure: Departure,
        timing: Timing,
    ): List<String> {
        val store = FakeStore()
        store.write(Feed.OPERATOR) { planRecord(1, it) }
        store.write(Feed.TARGETS) { targetRecord(registeredTarget("left"), it) }
        val fleet = FakeFleet(this, store).also { fleet -> (1..13).forEach { fleet.start(it) } }
        delay(5.seconds + timing.beforeTrouble)
        val leader = fleet.leaders.single()
        trouble.strike(fleet, store, leader)
        delay(timing.afterTrouble)
        store.write(Feed.TARGETS, departure.record)
        delay(2.seconds)
        val users = fleet.running.filter { it !== leader && it.state.isReady("left") }.map { it.members.self.name }
        fleet.running.toList().forEach { fleet.kill(it) }
        return users
    }

    @TestFactory
    fun `no request reaches a target two seconds after it said that it leaves, whatever befalls the leader`(): List<DynamicTest> =
        troubles.map { trouble ->
            dynamicTest("leader ${trouble.name}") {
                runTest {
                    assertSoftly {
                        for (departure in Departure.entries) {
                            for (timing in timings) {
                                withClue("leader ${trouble.name}, $departure, $timing") {
                                    usersAfterTwoSeconds(trouble, departure, timing).shouldBeEmpty()
                                }
                            }
                        }
                    }
                }
            }
        }
}
