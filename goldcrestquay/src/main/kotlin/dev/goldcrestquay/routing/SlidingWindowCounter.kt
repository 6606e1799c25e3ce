package dev.goldcrestquay.routing

import dev.goldcrestquay.link.Clock
import kotlin.time.Duration

/** Counts the events of the last [window] in buckets of a twentieth of it; a bucket counts until all of it is older than the window. */
public class SlidingWindowCounter(
    private val window: Duration,
    private val clock: Clock,
) {
    private val counts = IntArray(BUCKETS + 1)
    private val slices = LongArray(BUCKETS + 1) { -1 }
    private val bucket = window / BUCKETS

    /** Records one event at the current time. */
    public fun add() {
        val slice = slice()
        val index = (slice % counts.size).toInt()
        if (slices[index] != slice) {
            slices[index] = slice
            counts[index] = 0
        }
        counts[index]++
    }

    /** The number of events in the last window, plus those in the part of the oldest bucket that is already outside it. */
    public fun total(): Int {
        val oldest = slice() - BUCKETS
        return counts.indices.sumOf { if (slices[it] >= oldest) counts[it] else 0 }
    }

    private fun slice(): Long = (clock() / bucket).toLong()

    private companion object {
        const val BUCKETS = 20
    }
}
