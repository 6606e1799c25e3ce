package dev.goldcrestquay.http.edge

import dev.goldcrestquay.callers.BodyMemory
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import org.junit.jupiter.api.Test
import kotlin.time.Duration

class RequestBodyTest {
    private var now = Duration.ZERO
    private val memory = BodyMemory(1_000_000) { now }

    private fun bytes(size: Int) = ByteArray(size) { (it % 251).toByte() }

    @Test
    fun `a body in pieces is held complete, outside the heap, in at most twice its size`() {
        val body = RequestBody(memory, isLarge = true)
        bytes(200_000).toList().chunked(777).forEach { body.append(Unpooled.wrappedBuffer(it.toByteArray())) shouldBe true }
        body.complete()
        ByteBufUtil.getBytes(body.content).contentEquals(bytes(200_000)) shouldBe true
        body.content.isDirect shouldBe true
        memory.heldBytes shouldBeInRange 200_000L..400_000L
    }

    @Test
    fun `a request that is being sent keeps the bytes after the body is released`() {
        val body = RequestBody(memory, isLarge = true).also { it.append(Unpooled.wrappedBuffer(bytes(1_000))) }
        body.complete()
        val outgoing = EdgeRequest("r", "POST", "/", emptyList(), body.content).toHttp()
        repeat(2) { body.release() }
        memory.heldBytes shouldBe 0
        ByteBufUtil.getBytes(outgoing.content()).contentEquals(bytes(1_000)) shouldBe true
        outgoing.release()
        body.content.refCnt() shouldBe 0
    }

    @Test
    fun `a body that gives way frees its bytes at once, and takes no more`() {
        var hasEnded = false
        val stalled = RequestBody(memory, isLarge = true) { hasEnded = true }.also { it.append(Unpooled.wrappedBuffer(bytes(600_000))) }
        now += BodyMemory.STALL_TIME
        RequestBody(memory, isLarge = true).append(Unpooled.wrappedBuffer(bytes(600_000))) shouldBe true
        hasEnded shouldBe true
        stalled.content.refCnt() shouldBe 0
        stalled.append(Unpooled.wrappedBuffer(bytes(1))) shouldBe false
    }

    /** The error ended the handling of this part alone, so that the target got the body without it. */
    @Test
    fun `a body that finds no memory outside the heap is refused`() {
        val allocate = { size: Int -> if (size > 1_024) throw OutOfMemoryError("direct") else Unpooled.directBuffer(size, size) }
        val body = RequestBody(memory, isLarge = true, allocate)
        body.append(Unpooled.wrappedBuffer(bytes(1_024))) shouldBe true
        body.append(Unpooled.wrappedBuffer(bytes(2_000))) shouldBe false
        body.release()
        memory.heldBytes shouldBe 0
        body.content.refCnt() shouldBe 0
    }
}
