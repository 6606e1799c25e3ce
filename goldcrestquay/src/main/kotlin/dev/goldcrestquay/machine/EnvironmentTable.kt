package dev.goldcrestquay.machine

import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.contract.LogRecord
import dev.goldcrestquay.contract.LogRecords
import dev.goldcrestquay.contract.Restart
import dev.goldcrestquay.contract.Snapshot
import dev.goldcrestquay.contract.SnapshotNote
import dev.goldcrestquay.contract.problems
import dev.goldcrestquay.link.LogBatch
import dev.goldcrestquay.link.LogEntry
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * What is known of snapshots from the notes about them.
 *
 * @property newestCovered the offset covered by the newest one.
 * @property newestAt its offset on the stream of snapshots, or 0.
 * @property staleSeen whether the last one noted was behind the state.
 */
public data class SnapshotView(
    val newestCovered: Long = 0,
    val newestAt: Long = 0,
    val staleSeen: Boolean = false,
)

/**
 * One entry VM's copy of what the log agreed.
 *
 * Offsets count from 1. The copy is complete when every record since the start of the log, or since a state that covers
 * everything dropped by retention, was taken in.
 */
public class EnvironmentTable {
    private val lock = ReentrantLock()
    private val pending = sortedMapOf<Long, LogRecord?>()
    private val recent = ArrayDeque<LogEntry>()

    /** The state in force. */
    @Volatile
    public var state: EnvironmentState = EnvironmentState()
        private set

    /** Whether no record can be missing from [state]. */
    @Volatile
    public var complete: Boolean = false
        private set

    /** What is known of snapshots on the log. */
    @Volatile
    public var snapshots: SnapshotView = SnapshotView()
        private set

    /** The offset to read from next. */
    @Volatile
    public var nextOffset: Long = 1
        private set

    /** Takes in a batch of the log, from the log itself or as a peer relays it. */
    public fun applyBatch(batch: LogBatch): Unit =
        lock.withLock {
            if (batch.oldest > nextOffset) nextOffset = batch.oldest
            if (pending.isEmpty()) complete = batch.oldest <= state.offset + 1
            for (entry in batch.entries) {
                if (entry.offset < nextOffset) continue
                take(entry)
                nextOffset = entry.offset + 1
            }
            nextOffset = maxOf(nextOffset, batch.next)
        }

    /** Takes in a state from a snapshot or from a peer whose state is complete; returns whether it was newer than the own one. */
    public fun adopt(peerState: EnvironmentState): Boolean =
        lock.withLock {
            if (peerState.offset <= state.offset && complete) return false
            if (peerState.offset < state.offset) return false
            replace(peerState)
            true
        }

    /** Takes in the newest snapshot noted, when [batch] from the stream of snapshots holds it. */
    public fun adoptSnapshot(batch: LogBatch) {
        val text = batch.entries.firstOrNull { it.offset == snapshots.newestAt }?.text ?: return
        val record = LogRecords.read(text)
        if (record is Snapshot) adopt(record.state)
    }

    /** The records after [offset] that a peer lacks, or null when some of them are no longer kept here. */
    public fun recordsAfter(offset: Long): LogBatch? =
        lock.withLock {
            val first = recent.firstOrNull()?.offset ?: return null
            if (!complete || offset + 1 < first) return null
            LogBatch(first, state.offset + 1, recent.filter { it.offset > offset })
        }

    private fun take(entry: LogEntry) {
        val record = LogRecords.read(entry.text)
        if (record is SnapshotNote) noteSnapshot(record)
        if (!complete && record is Restart) restart(entry.offset, record)
        if (complete) {
            state = state.after(entry.offset, record)
            remember(entry)
            return
        }
        pending[entry.offset] = record
    }

    /** A restart needs nothing that was missed. */
    private fun restart(
        offset: Long,
        record: Restart,
    ) {
        if (record.environment.problems().isNotEmpty()) return
        state = EnvironmentState(offset = offset - 1)
        pending.clear()
        recent.clear()
        complete = true
    }

    private fun remember(entry: LogEntry) {
        recent.addLast(entry)
        if (recent.size > RECENT_RECORDS) recent.removeFirst()
    }

    /** Starts from [newState] and replays the records read since, when no record is missing in between. */
    private fun replace(newState: EnvironmentState) {
        val firstPending = pending.keys.firstOrNull() ?: newState.offset
        complete = pending.isEmpty() || newState.offset + 1 >= firstPending
        recent.clear()
        state = newState
        if (complete) {
            state = pending.entries.fold(newState) { current, (offset, record) -> current.after(offset, record) }
            pending.clear()
        }
        nextOffset = maxOf(nextOffset, state.offset + 1)
    }

    private fun noteSnapshot(note: SnapshotNote) {
        val stale = note.generation < state.generation && note.covered < state.offset
        val newest = if (note.covered >= snapshots.newestCovered) note.at else snapshots.newestAt
        snapshots = SnapshotView(maxOf(snapshots.newestCovered, note.covered), newest, stale)
    }

    private companion object {
        const val RECENT_RECORDS = 256
    }
}
