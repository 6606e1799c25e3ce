package dev.goldcrestquay.machine

import dev.goldcrestquay.ManualClock
import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.contract.Lease
import dev.goldcrestquay.contract.LeaseClaim
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

class LeaseTableTest {
    private val clock = ManualClock()
    private val settings = LeaseSettings(duration = 30.seconds, renewAfter = 12.seconds, margin = 1.seconds)

    private fun table(identity: String) = LeaseTable(identity, settings, clock)

    private fun lease(
        holder: String,
        offset: Long,
    ) = EnvironmentState(offset = offset, leases = mapOf("desk" to Lease(holder, offset)))

    @Test
    fun `the holder counts its lease from before the append`() {
        val table = table("x")
        table.claim(listOf("desk")) shouldBe LeaseClaim("x", mapOf("desk" to 0L))
        clock.now = 5.seconds
        table.observe(lease("x", 4))
        table.heldUntil("desk") shouldBe 30.seconds
    }

    @Test
    fun `a holder that was paused for longer than its lease does not hold it`() {
        val table = table("x")
        table.claim(listOf("desk"))
        clock.now = 40.seconds
        table.observe(lease("x", 4))
        (table.heldUntil("desk") > clock.now) shouldBe false
    }

    @Test
    fun `others claim a lease only when its duration and the margin have passed since they read it`() {
        val table = table("y")
        table.observe(lease("x", 4))
        val claims =
            listOf(30, 31).map {
                clock.now = it.seconds
                table.claim(listOf("desk"))
            }
        claims shouldBe listOf(null, LeaseClaim("y", mapOf("desk" to 4L)))
    }

    @Test
    fun `a released lease can be claimed at once`() {
        val holder = table("x")
        holder.claim(listOf("desk"))
        holder.observe(lease("x", 4))
        holder.release() shouldBe LeaseClaim("", mapOf("desk" to 4L))
        val other = table("y").apply { observe(lease("", 5)) }
        other.claim(listOf("desk")) shouldBe LeaseClaim("y", mapOf("desk" to 5L))
    }
}
