package dev.goldcrestquay.callers

import dev.goldcrestquay.link.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Shares memory among the bodies of all requests that an entry VM holds; confined to one event loop.
 *
 * Answers the load of many bodies at once, most of which stop short of their end. When the memory is used up, bodies that make no
 * progress give way, those without progress the longest first; while all of them make progress, the body that needs more is refused.
 * A body that has arrived complete never gives way.
 *
 * @param capacityBytes the memory; a sixteenth of it is only for bodies of up to [SMALL_BODY_BYTES].
 */
public class BodyMemory(
    private val capacityBytes: Long,
    private val clock: Clock,
) {
    private val claims = LinkedHashSet<Claim>()

    /** The bytes held now. */
    public var heldBytes: Long = 0L
        private set

    /** A claim for one body, which holds nothing yet; [giveWay] is called, after its memory is released, when it must end. */
    public fun claim(giveWay: () -> Unit): Claim = Claim(giveWay).also { claims += it }

    /** The memory of one body. */
    public inner class Claim internal constructor(
        private val giveWay: () -> Unit,
    ) {
        private var bytes = 0L
        private var isComplete = false
        private var isReleased = false
        private var progressAt = clock()

        internal val isStalled: Boolean get() = !isComplete && clock() - progressAt >= STALL_TIME

        /** Whether a body of [length] bytes would fit, as far as is known now: one that can't be held is refused before it is sent. */
        public fun canHold(length: Long): Boolean {
            val missing = length - available(length)
            return missing <= 0 || missing <= claims.filter { it.isStalled }.sumOf { it.bytes }
        }

        /** Notes that the body makes progress. */
        public fun recordProgress() {
            progressAt = clock()
            // The order of the set is that of their progress.
            if (claims.remove(this)) claims.add(this)
        }

        /** Holds [more] bytes, or returns false when there is no memory for them. */
        public fun hold(more: Long): Boolean {
            if (isReleased) return false
            recordProgress()
            if (more > available(bytes + more)) makeRoom(more, this)
            if (isReleased || more > available(bytes + more)) return false
            bytes += more
            heldBytes += more
            return true
        }

        /** Notes that the body has arrived whole. */
        public fun complete() {
            isComplete = true
        }

        /** Gives the memory back; to be called once the body is no longer used. */
        public fun release() {
            if (isReleased) return
            isReleased = true
            claims -= this
            heldBytes -= bytes
        }

        internal fun end() {
            release()
            giveWay()
        }

        internal val size: Long get() = bytes
    }

    /** What is free for a body of [length] bytes. */
    private fun available(length: Long): Long {
        val limit = if (length <= SMALL_BODY_BYTES) capacityBytes else capacityBytes - capacityBytes / RESERVE_DIVISOR
        return limit - heldBytes
    }

    private fun makeRoom(
        more: Long,
        claim: Claim,
    ) {
        val stalled = claims.filter { it.isStalled && it.size > 0 && it !== claim }
        val missing = more - available(claim.size + more)
        if (stalled.sumOf { it.size } < missing) return
        var freed = 0L
        for (other in stalled) {
            if (freed >= missing) return
            freed += other.size
            other.end()
        }
    }

    public companion object {
        /** The largest size of a body that may use the reserve. */
        public const val SMALL_BODY_BYTES: Long = 65_536

        private const val RESERVE_DIVISOR = 16

        /** The time without progress after which a body may give way: longer than a lost packet takes to be sent once more. */
        public val STALL_TIME: Duration = 1.seconds
    }
}
