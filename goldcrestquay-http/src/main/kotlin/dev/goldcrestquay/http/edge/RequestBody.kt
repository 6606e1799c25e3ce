package dev.goldcrestquay.http.edge

import dev.goldcrestquay.callers.BodyMemory
import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled

/**
 * A request's body, held until [release], as what [memory] grants.
 *
 * It is kept whole, so that a request that one target refuses can be sent to another. It grows as bytes arrive. Large bodies lie outside
 * the heap, in segments that are written to a target's socket without a copy.
 *
 * @param isLarge whether the body may have more than [LARGE_BODY_BYTES].
 * @param allocate allocates a segment.
 * @param giveWay is called when the body must end so that others find memory.
 */
internal class RequestBody(
    memory: BodyMemory,
    isLarge: Boolean,
    private val allocate: (bytes: Int) -> ByteBuf = if (isLarge) ALLOCATE_OUTSIDE_HEAP else ALLOCATE_IN_HEAP,
    giveWay: () -> Unit = {},
) {
    private val claim =
        memory.claim {
            free()
            giveWay()
        }
    private val segments: CompositeByteBuf = Unpooled.compositeBuffer(Int.MAX_VALUE)
    private var last: ByteBuf? = null
    private var isFree = false

    /** The bytes that have arrived. */
    var size = 0L
        private set

    /** The complete body; valid until [release]. */
    val content: ByteBuf get() = segments

    /** Whether a body of [length] bytes would fit. */
    fun canHold(length: Long): Boolean = claim.canHold(length)

    /** Appends the readable bytes of [bytes]; returns false when there is no memory for them. */
    fun append(bytes: ByteBuf): Boolean {
        claim.recordProgress()
        while (bytes.isReadable) {
            val segment = last?.takeIf { it.isWritable } ?: addSegment(bytes.readableBytes()) ?: return false
            val count = minOf(segment.writableBytes(), bytes.readableBytes())
            segment.writeBytes(bytes, count)
            size += count
        }
        return true
    }

    /** Adds a segment as large as what has arrived, so that no more than half of the memory is unused. */
    private fun addSegment(needed: Int): ByteBuf? {
        moveLastSegment()
        val capacity = maxOf(size, needed.toLong(), MINIMUM_SEGMENT_BYTES).coerceAtMost(MAXIMUM_SEGMENT_BYTES).toInt()
        if (!claim.hold(capacity.toLong())) return null
        return try {
            allocate(capacity).also { last = it }
        } catch (_: OutOfMemoryError) {
            // A part that is left out would give the target another body than the caller sent.
            null
        }
    }

    private fun moveLastSegment() {
        last?.let { segments.addComponent(true, it) }
        last = null
    }

    /** Notes that the body has arrived whole. */
    fun complete() {
        moveLastSegment()
        claim.complete()
    }

    /** Frees the memory; requests that are being sent keep theirs until they are written or their connection is closed. */
    fun release() {
        claim.release()
        free()
    }

    private fun free() {
        if (isFree) return
        isFree = true
        last?.release()
        last = null
        segments.release()
    }

    companion object {
        /** Smaller bodies lie in the heap, where they cost least. */
        const val LARGE_BODY_BYTES = 16_384L

        private const val MINIMUM_SEGMENT_BYTES = 1_024L
        private const val MAXIMUM_SEGMENT_BYTES = 65_536L

        private val ALLOCATE_OUTSIDE_HEAP: (Int) -> ByteBuf = { Unpooled.directBuffer(it, it) }
        private val ALLOCATE_IN_HEAP: (Int) -> ByteBuf = { Unpooled.buffer(it, it) }
    }
}
