package dev.goldcrestquay.routing

import dev.goldcrestquay.ManualClock
import dev.goldcrestquay.fleetMember
import dev.goldcrestquay.machine.FleetMember
import dev.goldcrestquay.machine.FleetMembers
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.random.Random

class RelayPeersTest {
    private val members = FleetMembers(fleetMember(1), ManualClock())
    private val peers = RelayPeers(members, Random(1))

    private fun join(vararg joining: FleetMember) = joining.forEach { members.recordHeartbeat(it) }

    private fun names() = peers.candidates().map { it.name }

    @Test
    fun `only peers that accept callers and reach targets are asked`() {
        val cases =
            listOf(
                fleetMember(2) to true,
                fleetMember(2).copy(accepting = false) to false,
                fleetMember(2).copy(reachesTargets = false) to false,
            )
        for ((peer, isCandidate) in cases) {
            join(peer)
            withClue(peer) { names() shouldBe if (isCandidate) listOf("vm-2") else emptyList() }
        }
    }

    @Test
    fun `peers of the same data centre come first unless most of it is cut off`() {
        val distant = fleetMember(2).copy(dataCentre = "south")
        join(distant, fleetMember(3))
        names() shouldBe listOf("vm-3", "vm-2")
        join(fleetMember(4).copy(reachesTargets = false), fleetMember(5).copy(reachesTargets = false))
        val firstOfMany = List(20) { names().first() }.toSet()
        firstOfMany shouldContainExactlyInAnyOrder listOf("vm-2", "vm-3")
    }

    /** A request that goes to several peers without a relay, one after the other, would be refused although others could serve it. */
    @Test
    fun `a peer whose release does not relay is asked again only after it has restarted`() {
        join(fleetMember(2), fleetMember(3))
        peers.recordRejection(fleetMember(2))
        names() shouldBe listOf("vm-3")
        peers.recordRejection(fleetMember(3))
        names() shouldBe emptyList()
        join(fleetMember(2, incarnation = 2))
        names() shouldBe listOf("vm-2")
    }
}
