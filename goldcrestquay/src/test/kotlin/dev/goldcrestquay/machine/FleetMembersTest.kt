package dev.goldcrestquay.machine

import dev.goldcrestquay.ManualClock
import dev.goldcrestquay.fleetMember
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

class FleetMembersTest {
    private val clock = ManualClock()
    private val members = FleetMembers(fleetMember(1), clock)

    private fun names() = members.alive.map { it.name }.sorted()

    /** Otherwise it would leave the list for half a second, until its next heartbeat. */
    @Test
    fun `a member that one peer no longer observes stays while another peer tells something else of it`() {
        val variants =
            listOf(
                fleetMember(2),
                fleetMember(2).copy(accepting = false),
                fleetMember(2).copy(reachesTargets = false),
            )
        for (variant in variants) {
            members.recordHeartbeat(fleetMember(4), listOf(variant))
            members.recordHeartbeat(fleetMember(3), listOf(fleetMember(2)))
            members.recordHeartbeat(fleetMember(3), emptyList())
            withClue(variant) { names() shouldBe listOf("vm-1", "vm-2", "vm-3", "vm-4") }
        }
    }
}
