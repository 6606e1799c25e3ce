package dev.goldcrestquay.callers

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class BodyMemoryTest {
    private var now = Duration.ZERO
    private val memory = BodyMemory(CAPACITY, { now })
    private val ended = mutableListOf<String>()

    private fun claim(name: String) = memory.claim { ended += name }

    @Test
    fun `bodies that make no progress give way, the longest without first, and only as many as needed`() {
        val first = claim("first").also { it.hold(400_000) shouldBe true }
        claim("second").also { it.hold(400_000) shouldBe true }
        now += BodyMemory.STALL_TIME / 2
        first.hold(1) shouldBe true
        now += BodyMemory.STALL_TIME
        claim("third").hold(400_000) shouldBe true
        ended shouldContainExactly listOf("second")
        memory.heldBytes shouldBe 800_001
    }

    @Test
    fun `a body is refused while all others make progress, and none of them ends`() {
        claim("first").hold(900_000) shouldBe true
        now += BodyMemory.STALL_TIME - 1.milliseconds
        claim("second").hold(200_000) shouldBe false
        ended.shouldBeEmpty()
        memory.heldBytes shouldBe 900_000
    }

    @Test
    fun `no body ends when all that stall together do not free enough`() {
        claim("complete").also { it.hold(800_000) shouldBe true }.complete()
        claim("stalled").hold(100_000) shouldBe true
        now += BodyMemory.STALL_TIME
        claim("large").hold(300_000) shouldBe false
        ended.shouldBeEmpty()
    }

    @Test
    fun `a complete body never gives way`() {
        claim("complete").also { it.hold(900_000) shouldBe true }.complete()
        now += BodyMemory.STALL_TIME * 100
        claim("other").hold(200_000) shouldBe false
        ended.shouldBeEmpty()
    }

    @Test
    fun `a sixteenth is left to small bodies`() {
        val memory = BodyMemory(16 * 200_000, { now })
        memory.claim { }.hold(15 * 200_000) shouldBe true
        memory.claim { }.hold(BodyMemory.SMALL_BODY_BYTES + 1) shouldBe false
        val small = memory.claim { }
        small.hold(BodyMemory.SMALL_BODY_BYTES) shouldBe true
        small.hold(1) shouldBe false
    }

    @Test
    fun `a stated length is refused before the body only if what stalls does not leave room for it`() {
        claim("first").hold(600_000) shouldBe true
        val second = claim("second")
        second.canHold(300_000) shouldBe true
        second.canHold(500_000) shouldBe false
        now += BodyMemory.STALL_TIME
        second.canHold(900_000) shouldBe true
        second.canHold(CAPACITY + 1) shouldBe false
    }

    @Test
    fun `released memory is free again, once`() {
        val claim = claim("first").also { it.hold(900_000) shouldBe true }
        repeat(2) { claim.release() }
        memory.heldBytes shouldBe 0
        claim.hold(1) shouldBe false
        claim("second").hold(900_000) shouldBe true
    }

    private companion object {
        const val CAPACITY = 1_000_000L
    }
}
