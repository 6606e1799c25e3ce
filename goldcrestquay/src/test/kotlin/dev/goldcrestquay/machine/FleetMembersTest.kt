package dev.goldcrestquay.machine

import dev.goldcrestquay.ManualClock
import dev.goldcrestquay.fleetMember
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds

class FleetMembersTest {
    private val clock = ManualClock()
    private val present = FleetMember.PRESENT_FORMAT_VERSION
    private val members = FleetMembers(fleetMember(1).copy(formatVersion = present), clock)

    private fun names() = members.alive.map { it.name }.sorted()

    @Test
    fun `the format that all members read is the oldest one`() {
        members.formatVersion shouldBe present
        val cases = listOf(listOf(present, present) to present, listOf(present, present + 1) to present, listOf(present, 0) to 0)
        cases.forEachIndexed { start, (versions, oldest) ->
            versions.forEachIndexed { index, version ->
                members.recordHeartbeat(fleetMember(index + 2, start.toLong()).copy(formatVersion = version))
            }
            withClue(versions) { members.formatVersion shouldBe oldest }
        }
    }

    /** A release that does not know the field passes the member on without it. */
    @Test
    fun `what a member said of its format is kept when an earlier release relays its heartbeat`() {
        members.recordHeartbeat(fleetMember(2).copy(formatVersion = present))
        clock.now = 1500.milliseconds
        val before = members.version
        members.recordHeartbeat(fleetMember(3).copy(formatVersion = present), listOf(fleetMember(2)))
        members.formatVersion shouldBe present
        withClue("changes of the list, for the new member alone") { members.version shouldBe before + 1 }
        members.recordHeartbeat(fleetMember(2, incarnation = 2))
        withClue("after a restart with another release") { members.formatVersion shouldBe 0 }
    }

    /** Otherwise it would leave the list for half a second, until its next heartbeat. */
    @Test
    fun `a member that one peer no longer observes stays while another peer tells something else of it`() {
        val variants =
            listOf(
                fleetMember(2),
                fleetMember(2).copy(formatVersion = present),
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
