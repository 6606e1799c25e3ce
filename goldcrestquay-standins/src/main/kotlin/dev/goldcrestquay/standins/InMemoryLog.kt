package dev.goldcrestquay.standins

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.LinkFailure
import dev.goldcrestquay.link.LogBatch
import dev.goldcrestquay.link.LogEntry
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * An append-only log in memory with a rate limit, retention and faults to switch on.
 *
 * @property appendsPerSecond the appends taken in any second.
 * @property retained the records kept.
 */
class InMemoryLog(
    private val clock: Clock,
    private val appendsPerSecond: Int = 300,
    var retained: Int = 10_000,
) {
    private val lock = ReentrantLock()
    private val entries = ArrayDeque<LogEntry>()
    private val recentAppends = ArrayDeque<Duration>()
    private var next = 1L

    /** Whether the log answers nothing. */
    @Volatile
    var down: Boolean = false

    /** Whether appends take effect but their replies are lost. */
    @Volatile
    var losesReplies: Boolean = false

    /** Everything appended so far, whatever retention dropped. */
    val history: MutableList<LogEntry> = mutableListOf()

    /** Appends a record. */
    fun append(text: String): Result<Long, LinkFailure> =
        lock.withLock {
            if (down) return Err(LinkFailure.UNREACHABLE)
            val now = clock()
            while (recentAppends.isNotEmpty() && now - recentAppends.first() >= 1.seconds) recentAppends.removeFirst()
            if (recentAppends.size >= appendsPerSecond) return Err(LinkFailure.THROTTLED)
            recentAppends.addLast(now)
            val entry = LogEntry(next++, text)
            entries.addLast(entry)
            history += entry
            while (entries.size > retained) entries.removeFirst()
            if (losesReplies) Err(LinkFailure.REPLY_LOST) else Ok(entry.offset)
        }

    /** Reads at most [MAXIMUM_BATCH] records from offset [from] on. */
    fun read(from: Long): Result<LogBatch, LinkFailure> =
        lock.withLock {
            if (down) return Err(LinkFailure.UNREACHABLE)
            val oldest = entries.firstOrNull()?.offset ?: next
            val batch = entries.drop((from - oldest).coerceIn(0, entries.size.toLong()).toInt()).take(MAXIMUM_BATCH)
            Ok(LogBatch(oldest, batch.lastOrNull()?.let { it.offset + 1 } ?: maxOf(from, oldest), batch))
        }

    private companion object {
        const val MAXIMUM_BATCH = 500
    }
}
