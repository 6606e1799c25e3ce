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
 * What the snapshot notes on the log say.
 *
 * @property newestCoveredOffset the highest log offset that a noted snapshot covers.
 * @property newestOffset the offset of that snapshot on the snapshot stream, or 0 when none is known.
 * @property isLastNoteStale whether the last note was of a snapshot of an older generation and offset than the state.
 */
public data class SnapshotView(
    val newestCoveredOffset: Long = 0,
    val newestOffset: Long = 0,
    val isLastNoteStale: Boolean = false,
)

/**
 * One entry VM's copy of the environment state, built from the records of the log.
 *
 * Offsets count from 1. The copy is complete when every record has been applied since the start of the log, or since a state
 * that covers all records that retention has dropped.
 */
public class EnvironmentTable {
    private val lock = ReentrantLock()

    /** The records read while the state is incomplete, by offset. */
    private val pending = sortedMapOf<Long, LogRecord?>()

    /** The latest entries applied, kept to relay to peers. */
    private val recent = ArrayDeque<LogEntry>()

    /** The current state. */
    @Volatile
    public var state: EnvironmentState = EnvironmentState()
        private set

    /** Whether no record can be missing from [state]. */
    @Volatile
    public var complete: Boolean = false
        private set

    /** What the snapshot notes read so far say. */
    @Volatile
    public var snapshots: SnapshotView = SnapshotView()
        private set

    /** The log offset to read from next. */
    @Volatile
    public var nextOffset: Long = 1
        private set

    /** Applies a batch of log entries, read from the log or relayed by a peer. */
    public fun applyBatch(batch: LogBatch): Unit =
        lock.withLock {
            if (batch.oldest > nextOffset) nextOffset = batch.oldest
            if (pending.isEmpty()) complete = batch.oldest <= state.offset + 1
            for (entry in batch.entries) {
                if (entry.offset < nextOffset) continue
                applyEntry(entry)
                nextOffset = entry.offset + 1
            }
            nextOffset = maxOf(nextOffset, batch.next)
        }

    /** Adopts a state from a snapshot or from a peer whose state is complete, unless it is older; returns whether it was adopted. */
    public fun adopt(peerState: EnvironmentState): Boolean =
        lock.withLock {
            if (peerState.offset <= state.offset && complete) return false
            if (peerState.offset < state.offset) return false
            replaceState(peerState)
            true
        }

    /** Adopts the newest noted snapshot if [batch], read from the snapshot stream, holds it. */
    public fun adoptSnapshot(batch: LogBatch) {
        val text = batch.entries.firstOrNull { it.offset == snapshots.newestOffset }?.text ?: return
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

    private fun applyEntry(entry: LogEntry) {
        val record = LogRecords.read(entry.text)
        if (record is SnapshotNote) noteSnapshot(record)
        if (!complete && record is Restart) applyRestart(entry.offset, record)
        if (complete) {
            state = state.after(entry.offset, record)
            keepRecent(entry)
            return
        }
        pending[entry.offset] = record
    }

    /** Completes the state from a valid restart record, which replaces everything before it. */
    private fun applyRestart(
        offset: Long,
        record: Restart,
    ) {
        if (record.environment.problems().isNotEmpty()) return
        state = EnvironmentState(offset = offset - 1)
        pending.clear()
        recent.clear()
        complete = true
    }

    private fun keepRecent(entry: LogEntry) {
        recent.addLast(entry)
        if (recent.size > RECENT_RECORDS) recent.removeFirst()
    }

    /** Replaces the state with [newState] and replays the pending records, unless records are missing in between. */
    private fun replaceState(newState: EnvironmentState) {
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
        val newest = if (note.covered >= snapshots.newestCoveredOffset) note.at else snapshots.newestOffset
        snapshots = SnapshotView(maxOf(snapshots.newestCoveredOffset, note.covered), newest, stale)
    }

    private companion object {
        const val RECENT_RECORDS = 256
    }
}
