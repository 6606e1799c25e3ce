package dev.goldcrestquay.routing

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Allows retries as a share of calls, so that a failing service is not flooded by repeats. */
public class RetryBudget(
    private val share: Double,
    private val reserve: Double,
) {
    private val lock = ReentrantLock()
    private var tokens = 0.0

    /** Earns the share of one call. */
    public fun called(): Unit = lock.withLock { tokens = (tokens + share).coerceAtMost(reserve) }

    /** Takes one retry, or says that there is none. */
    public fun take(): Boolean =
        lock.withLock {
            if (tokens < 1.0) return false
            tokens -= 1.0
            true
        }
}
