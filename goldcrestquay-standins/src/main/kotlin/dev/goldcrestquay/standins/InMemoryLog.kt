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
 * An append-only log in memory with a rate limit, limited retention and injectable faults.
 *
 * @property appendsPerSecond the maximum number of appends accepted within any second; more are throttled.
 * @property retained the number of newest records that can still be read.
 */
class InMemoryLog(
    private val clock: Clock,
    private val appendsPerSecond: Int = 300,
    var retained: Int = 10_000,
) {
    private val lock = ReentrantLock()
    private val entries = ArrayDeque<LogEntry>()
    private val recentAppendTimes = ArrayDeque<Duration>()
    private var nextOffset = 1L

    /** Whether every operation fails with [LinkFailure.UNREACHABLE]. */
    @Volatile
    var down: Boolean = false

    /** Whether an append takes effect but fails with [LinkFailure.REPLY_LOST]. */
    @Volatile
    var losesReplies: Boolean = false

    /** All records appended so far, including those that are no longer retained. */
    val history: MutableList<LogEntry> = mutableListOf()

    /** Appends a record with the content [text] and returns its offset. */
    fun append(text: String): Result<Long, LinkFailure> =
        lock.withLock {
            if (down) return Err(LinkFailure.UNREACHABLE)
            val now = clock()
            while (recentAppendTimes.isNotEmpty() && now - recentAppendTimes.first() >= 1.seconds) recentAppendTimes.removeFirst()
            if (recentAppendTimes.size >= appendsPerSecond) return Err(LinkFailure.THROTTLED)
            recentAppendTimes.addLast(now)
            val entry = LogEntry(nextOffset++, text)
            entries.addLast(entry)
            history += entry
            while (entries.size > retained) entries.removeFirst()
            if (losesReplies) Err(LinkFailure.REPLY_LOST) else Ok(entry.offset)
        }

    /** Reads at most [MAXIMUM_BATCH_RECORDS] records, starting at offset [from] or at the oldest retained record. */
    fun read(from: Long): Result<LogBatch, LinkFailure> =
        lock.withLock {
            if (down) return Err(LinkFailure.UNREACHABLE)
            val oldest = entries.firstOrNull()?.offset ?: nextOffset
            val batch = entries.drop((from - oldest).coerceIn(0, entries.size.toLong()).toInt()).take(MAXIMUM_BATCH_RECORDS)
            Ok(LogBatch(oldest, batch.lastOrNull()?.let { it.offset + 1 } ?: maxOf(from, oldest), batch))
        }

    private companion object {
        const val MAXIMUM_BATCH_RECORDS = 500
    }
}
