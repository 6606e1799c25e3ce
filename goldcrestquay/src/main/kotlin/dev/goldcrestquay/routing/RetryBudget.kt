package dev.goldcrestquay.routing

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Limits the retries of one router to a share of its calls, so that retries do not overload a failing service.
 *
 * @property share the retries earned by each call.
 * @property reserve the maximum number of retries that can be saved up.
 */
public class RetryBudget(
    private val share: Double,
    private val reserve: Double,
) {
    private val lock = ReentrantLock()
    private var tokens = 0.0

    /** Records one call, which earns its share of a retry. */
    public fun recordCall(): Unit = lock.withLock { tokens = (tokens + share).coerceAtMost(reserve) }

    /** Takes one retry; returns false if the budget is used up. */
    public fun tryTake(): Boolean =
        lock.withLock {
            if (tokens < 1.0) return false
            tokens -= 1.0
            true
        }
}
