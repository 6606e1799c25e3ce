package dev.goldcrestquay.link

import kotlin.time.Duration
import kotlin.time.TimeSource

/** The time elapsed since a fixed instant of this process; monotonic. */
public typealias Clock = () -> Duration

/** Wall-clock time in milliseconds since the Unix epoch, for the deadlines stated in documents. */
public typealias WallClock = () -> Long

/** A clock on this time source that starts at zero now. */
public fun TimeSource.asClock(): Clock {
    val start = markNow()
    return { start.elapsedNow() }
}
