package dev.goldcrestquay.link

import kotlin.time.Duration
import kotlin.time.TimeSource

/** Time elapsed since a fixed point of this process; never goes back. */
public typealias Clock = () -> Duration

/** Wall-clock time in milliseconds since 1970, for deadlines that documents state. */
public typealias WallClock = () -> Long

/** A clock that starts now and reads this time source. */
public fun TimeSource.asClock(): Clock {
    val start = markNow()
    return { start.elapsedNow() }
}
