package dev.goldcrestquay.machine

import dev.goldcrestquay.ManualClock
import dev.goldcrestquay.member
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class MemberTableTest {
    private val clock = ManualClock()
    private val table = MemberTable(member("self"), MembershipSettings(), clock, Random(1))

    private fun names() = table.alive.map { it.name }

    @Test
    fun `the higher incarnation wins, then the higher sequence, then the later status`() {
        val base = member("x")
        val cases =
            listOf(
                member("x", incarnation = 2) to true,
                member("x", sequence = 1) to true,
                member("x", status = MemberStatus.DEAD) to true,
                base to false,
                member("x", incarnation = 0, status = MemberStatus.DEAD) to false,
            )
        cases.map { (record, _) -> record.supersedes(base) } shouldBe cases.map { it.second }
    }

    @Test
    fun `a member that does not answer is suspected, then dead, and late records do not revive it`() {
        table.merge(listOf(member("x")))
        table.recordFailure("peer-x")
        names() shouldBe listOf("self", "x")
        clock.now = 4.seconds
        table.expire()
        names() shouldBe listOf("self")
        table.merge(listOf(member("x")))
        names() shouldBe listOf("self")
        table.merge(listOf(member("x", incarnation = 2)))
        names() shouldBe listOf("self", "x")
    }

    @Test
    fun `a VM refutes a false report of its death`() {
        table.merge(listOf(member("self", status = MemberStatus.DEAD, sequence = 3)))
        table.self.sequence shouldBe 4
        names() shouldBe listOf("self")
    }

    @Test
    fun `leaving members are not listed as alive`() {
        table.merge(listOf(member("x", status = MemberStatus.LEAVING)))
        table.leave()
        names() shouldBe emptyList<String>()
    }

    @Test
    fun `a leaving member that does not answer is dead`() {
        table.merge(listOf(member("x", status = MemberStatus.LEAVING)))
        table.recordFailure("peer-x")
        table.all().map { it.name to it.status } shouldBe listOf("x" to MemberStatus.DEAD, "self" to MemberStatus.ALIVE)
    }

    @Test
    fun `the VM list gives addresses to try but no members`() {
        table.updateVmList(listOf(ListedVm("y", "b", "peer-y")))
        names() shouldBe listOf("self")
        table.nextPeers() shouldBe listOf("peer-y")
    }
}
