package dev.goldcrestquay.routing

import dev.goldcrestquay.fleetMember
import dev.goldcrestquay.machine.FleetEvent
import dev.goldcrestquay.machine.FleetMembers
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.planRecord
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.targetRecord
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class TargetReachMonitorTest {
    private class Watched(
        scope: TestScope,
        answers: Boolean,
    ) {
        private val clock = { scope.currentTime.milliseconds }
        private val state = SharedState(clock)
        val members = FleetMembers(fleetMember(1), clock)
        val notices = TargetNotices(clock)
        val reach = TargetReach(clock)
        val events = mutableListOf<FleetEvent>()
        val probed = mutableListOf<String>()

        init {
            state.apply(planRecord(1))
            TARGETS.forEachIndexed { index, id -> state.apply(targetRecord(registeredTarget(id), index.toLong())) }
            val probe =
                reach.observe { target: RegisteredTarget, _: Any ->
                    probed += target.id
                    if (answers) ProbeResult(LoadSample(0, 0, 4, 1.0, true), target.id) else null
                }
            val monitor = TargetReachMonitor(reach, state, members, Random(1), probe, { }, notices, { events += it })
            scope.backgroundScope.launch { monitor.run() }
            TARGETS.forEach { reach.recordContact(it, false) }
        }
    }

    @Test
    fun `an entry VM that is cut off says so and probes targets until they answer`() =
        runTest {
            val lost = Watched(this, answers = false)
            delay(1.seconds)
            lost.members.self.reachesTargets shouldBe false
            lost.probed.toSet() shouldContainExactlyInAnyOrder TARGETS
            lost.events shouldBe listOf(FleetEvent.ReachChanged(false))

            val found = Watched(this, answers = true)
            delay(2.seconds)
            found.members.self.reachesTargets shouldBe true
            found.events shouldBe listOf(FleetEvent.ReachChanged(false), FleetEvent.ReachChanged(true))
            withClue("probes after that") {
                val before = found.probed.size
                delay(1.seconds)
                found.probed.size shouldBe before
            }
        }

    /** A probe is a request that reaches the target, which has asked for none. */
    @Test
    fun `a target that wants no requests gets no probes until its time ends`() =
        runTest {
            val watched = Watched(this, answers = false)
            watched.notices.record("t1", TargetNotice(silence = 3.seconds))
            delay(2.seconds)
            watched.probed.toSet() shouldContainExactlyInAnyOrder TARGETS - "t1"
            delay(2.seconds)
            watched.probed.toSet() shouldContainExactlyInAnyOrder TARGETS
        }

    private companion object {
        val TARGETS = listOf("t1", "t2", "t3", "t4", "t5")
    }
}
