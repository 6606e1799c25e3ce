package dev.goldcrestquay.usage

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.WallClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * True time as this entry VM's wall clock tells it, without its short jumps.
 *
 * The runtime's clock carries on from the last reading of the wall clock. Small differences are followed at once; a jump counts only
 * once it has lasted for [JUMP_HOLD].
 */
internal class TrueTime(
    private val clock: Clock,
    private val wallClock: WallClock,
    private val reportJump: (Duration) -> Unit = { },
) {
    private var offset = read()
    private var jumpedSince: Duration? = null

    /** Now, in milliseconds since the Unix epoch. */
    fun now(): Long = at(clock())

    /** The time at [moment] of the runtime's clock, in milliseconds since the Unix epoch. */
    fun at(moment: Duration): Long {
        adjust()
        return moment.inWholeMilliseconds + offset
    }

    private fun adjust() {
        val seen = read()
        val jump = (seen - offset).milliseconds
        val since = jumpedSince
        when {
            jump.absoluteValue <= FOLLOWED_STEP -> adopt(seen)
            since == null -> jumpedSince = clock()
            clock() - since >= JUMP_HOLD -> {
                adopt(seen)
                reportJump(jump)
            }
        }
    }

    private fun adopt(seen: Long) {
        offset = seen
        jumpedSince = null
    }

    private fun read(): Long = wallClock() - clock().inWholeMilliseconds

    companion object {
        /** A clock that is kept right by the network is corrected by less than this between two readings. */
        private val FOLLOWED_STEP = 100.milliseconds

        /** Two windows of the shortest usual length. */
        val JUMP_HOLD = 10.seconds
    }
}
