package dev.goldcrestquay.callers

import dev.goldcrestquay.link.Clock
import kotlin.time.Duration

/** Why a caller's connection is closed. */
public enum class TurnAwayReason {
    /** There are as many connections as the process may have. */
    CONNECTIONS,

    /** The heads of all callers need more memory than they may. */
    HEAD_MEMORY,

    /** Too many bytes came before a request that are no part of it. */
    EMPTY_LINES,

    /** A head or a body did not end within the plan's limits. */
    SLOW,

    /** The bodies of all callers need more memory than they may. */
    BODY_MEMORY,
}

/**
 * The connections of an entry VM's callers and the memory that the heads of their requests take; confined to one event loop.
 *
 * Answers the load of many connections at once, most of which send a part of a request and stop. A connection whose request is
 * complete and has no response yet never gives way to others.
 *
 * @param C a connection.
 * @param close closes a connection; [remove] must follow, at once or later.
 */
public class CallerTable<C : Any>(
    private val limits: CallerLimits,
    private val clock: Clock,
    private val close: (C, TurnAwayReason) -> Unit,
) {
    private class Entry(
        var progressAt: Duration,
    ) {
        /** The memory of the heads of unanswered requests, or of the line buffer that the decoder keeps after them. */
        var headBytes = 0L
        var presentHeadBytes = 0
        var presentHeadMemory = 0L
        var largestHeadBytes = 0
        var headBeganAt: Duration? = null

        /** The memory of the head of each request that has no response yet, in their order. */
        val unanswered = ArrayDeque<Long>()

        /** The memory of heads whose response was sent and which are not released yet. */
        var answeredHeadMemory = 0L
        var isReadingBody = false
        var wasSlow = false

        /** Whether a complete request waits for its response. */
        val isBusy: Boolean get() = unanswered.size > (if (isReadingBody) 1 else 0)
    }

    /** In the order of their last progress. */
    private val entries = LinkedHashMap<C, Entry>()

    /** The memory that the heads of connections take which are closed and not yet removed. */
    private val closing = HashMap<C, Long>()
    private var closingBytes = 0L

    /** The memory that heads take now, those of closed connections included until [remove]. */
    public var headBytes: Long = 0L
        private set

    /** The number of open connections. */
    public val size: Int get() = entries.size

    /** Adds [connection], which takes the place of the one without progress the longest when there are too many. */
    public fun add(connection: C) {
        if (entries.size >= limits.connections) {
            val victim = entries.entries.firstOrNull { !it.value.isBusy }?.key ?: return close(connection, TurnAwayReason.CONNECTIONS)
            turnAway(victim, TurnAwayReason.CONNECTIONS)
        }
        entries[connection] = Entry(clock())
    }

    /** Forgets [connection], which is closed and whose memory is free. */
    public fun remove(connection: C) {
        headBytes -= entries.remove(connection)?.headBytes ?: 0
        val freed = closing.remove(connection) ?: return
        closingBytes -= freed
        headBytes -= freed
    }

    /** Notes that bytes of [connection] arrived. */
    public fun recordProgress(connection: C) {
        val entry = entries.remove(connection) ?: return
        entry.progressAt = clock()
        entry.wasSlow = false
        entries[connection] = entry
    }

    /**
     * Notes a part of a head of [connection], of [bytes] and [lines]; the largest heads of incomplete requests give way to it.
     *
     * So does this one, unless it is small, while those that gave way are not free yet: event loops free them after a round of reads.
     */
    public fun holdHead(
        connection: C,
        bytes: Int,
        lines: Int,
    ) {
        val entry = entries[connection] ?: return
        if (entry.headBeganAt == null) entry.headBeganAt = clock()
        entry.presentHeadBytes += bytes
        entry.largestHeadBytes = maxOf(entry.largestHeadBytes, entry.presentHeadBytes)
        val memory = BYTE_OVERHEAD.toLong() * bytes + LINE_OVERHEAD.toLong() * lines
        entry.presentHeadMemory += memory
        entry.headBytes += memory
        headBytes += memory
        if (headBytes - closingBytes > limits.headBytes) makeRoom()
        if (headBytes > limits.headBytes &&
            entry.headBytes > SMALL_HEAD_BYTES &&
            !entry.isBusy
        ) {
            turnAway(connection, TurnAwayReason.HEAD_MEMORY)
        }
    }

    private fun makeRoom() {
        val byMemory = entries.entries.filter { !it.value.isBusy && it.value.headBytes > 0 }.sortedByDescending { it.value.headBytes }
        // More than is needed, so that the connections are not sorted again for each part of a head.
        val goal = limits.headBytes - limits.headBytes / ROOM_DIVISOR
        for ((connection, _) in byMemory) {
            if (headBytes - closingBytes <= goal) return
            turnAway(connection, TurnAwayReason.HEAD_MEMORY)
        }
    }

    /** Notes that a request's head is complete. */
    public fun beginRequest(connection: C) {
        val entry = entries[connection] ?: return
        entry.headBeganAt = null
        entry.presentHeadBytes = 0
        entry.unanswered += entry.presentHeadMemory
        entry.presentHeadMemory = 0
        entry.isReadingBody = true
    }

    /** Notes that a request's body, or its lack of one, is complete. */
    public fun endBody(connection: C) {
        val entry = entries[connection] ?: return
        entry.isReadingBody = false
        releaseHeads(entry)
    }

    /** Notes that a response was sent. */
    public fun endRequest(connection: C) {
        val entry = entries[connection] ?: return
        entry.answeredHeadMemory += entry.unanswered.removeFirstOrNull() ?: return
        releaseHeads(entry)
    }

    /** Releases the heads of answered requests, also while the caller has sent others: one that pipelines may always have. */
    private fun releaseHeads(entry: Entry) {
        val isAnsweredEarly = entry.unanswered.isEmpty() && entry.isReadingBody
        if (entry.answeredHeadMemory == 0L || isAnsweredEarly) return
        entry.answeredHeadMemory = 0
        val kept = LINE_BUFFER_OVERHEAD.toLong() * entry.largestHeadBytes
        val held = kept + entry.unanswered.sum() + entry.presentHeadMemory
        headBytes += held - entry.headBytes
        entry.headBytes = held
    }

    /** Closes [connection] if it is open. */
    public fun turnAway(
        connection: C,
        reason: TurnAwayReason,
    ) {
        val entry = entries.remove(connection) ?: return
        closing[connection] = entry.headBytes
        closingBytes += entry.headBytes
        close(connection, reason)
    }

    /**
     * Closes connections whose head has taken longer than [headerTimeout], or whose body has made no progress for [idleTimeout].
     *
     * Only those found slow twice in a row: after a pause of the process, bytes that came in time may still have to be read.
     */
    public fun closeSlow(
        headerTimeout: Duration,
        idleTimeout: Duration,
    ) {
        val now = clock()
        val slow = entries.filterValues { it.isSlow(now, headerTimeout, idleTimeout) }
        slow.filterValues { it.wasSlow }.keys.forEach { turnAway(it, TurnAwayReason.SLOW) }
        slow.values.forEach { it.wasSlow = true }
    }

    private fun Entry.isSlow(
        now: Duration,
        headerTimeout: Duration,
        idleTimeout: Duration,
    ): Boolean {
        if (isBusy) return false
        val headTime = headBeganAt?.let { now - it } ?: Duration.ZERO
        return headTime > headerTimeout || (isReadingBody && now - progressAt > idleTimeout)
    }

    private companion object {
        /** The memory that a byte of a head takes at most: in the line that is read, in the header, and in the buffer's spare part. */
        const val BYTE_OVERHEAD = 3

        /** The memory of the objects of one header. */
        const val LINE_OVERHEAD = 300

        /** The line buffer's size is a power of two. */
        const val LINE_BUFFER_OVERHEAD = 2

        const val ROOM_DIVISOR = 8

        /** The memory of an ordinary head of 1 KiB with 16 lines. */
        const val SMALL_HEAD_BYTES = 8_192
    }
}
