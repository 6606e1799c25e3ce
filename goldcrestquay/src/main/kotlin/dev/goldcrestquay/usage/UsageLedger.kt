package dev.goldcrestquay.usage

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.TreeMap

/**
 * The claim of the duty by a process.
 *
 * @property token the fencing token: no other claim has it, and later ones have higher ones.
 * @property process the process that claims, as `name/incarnation`.
 */
@Serializable
internal data class UsageClaim(
    val token: Long,
    val process: String,
)

/**
 * The counts that were written for a [window] before they were sent; nobody ever sends others.
 *
 * @property sentThrough the platform has all windows up to this one that were written; null when that is not known of any.
 */
@Serializable
internal data class UsageRecord(
    val window: Long,
    val counts: Map<String, Long>,
    val sentThrough: Long? = null,
)

/**
 * What the store holds about the duty, as far as this process has read it.
 *
 * @param reportUnreadable is called for a record that can't be read, with the reason.
 */
internal class UsageLedger(
    private val reportUnreadable: (TopicRecord, String) -> Unit,
) {
    /** The offset at which the topic ended when it was last read or written; null before the first read. */
    var end: Long? = null
        private set

    /** The highest epoch of the store that was seen. */
    var epoch = 0L
        private set

    /** The newest claim, whose process holds the duty; null when there was none yet. */
    var claim: UsageClaim? = null
        private set

    /** The windows that were written last. */
    val records = TreeMap<Long, UsageRecord>()

    private var sentThrough = Long.MIN_VALUE

    /** The newest window that was written, or null. */
    val newestWindow: Long? get() = records.lastEntry()?.key

    /** The fencing token of a claim at [offset]: higher than that of any claim at a lower one, also of an earlier epoch. */
    fun tokenAt(offset: Long): Long = (epoch shl OFFSET_BITS) + offset + 1

    /** The windows that were written and that the platform may not have, the oldest first; it has those [accepted]. */
    fun unsent(accepted: Set<Long>): List<UsageRecord> = records.tailMap(sentThrough, false).values.filter { it.window !in accepted }

    /** The window up to which the platform has all that were written; null when that is not known of any. */
    fun sentThrough(accepted: Set<Long>): Long? {
        val firstUnsent = unsent(accepted).firstOrNull() ?: return newestWindow
        return records.lowerKey(firstUnsent.window) ?: sentThrough.takeIf { it != Long.MIN_VALUE }
    }

    /** Adds [read] records; returns the windows that fell out and that the platform may not have. */
    fun apply(
        read: TopicRecords,
        accepted: Set<Long>,
    ): List<Long> {
        read.records.forEach { record ->
            if (record.key == CLAIM_KEY) add(decode(UsageClaim.serializer(), record)) else add(decode(UsageRecord.serializer(), record))
        }
        end = read.end
        epoch = maxOf(epoch, read.epoch)
        val dropped = records.headMap((newestWindow ?: return emptyList()) - UsageSettings.RETAINED_WINDOWS, true)
        val unsent = dropped.keys.filter { it > sentThrough && it !in accepted }
        dropped.clear()
        return unsent
    }

    private fun <T> decode(
        serializer: KSerializer<T>,
        record: TopicRecord,
    ): T? =
        try {
            json.decodeFromString(serializer, record.value)
        } catch (exception: SerializationException) {
            reportUnreadable(record, exception.message.orEmpty())
            null
        }

    private fun add(newClaim: UsageClaim?) {
        if (newClaim != null && newClaim.token > (claim?.token ?: 0)) claim = newClaim
    }

    private fun add(record: UsageRecord?) {
        if (record == null) return
        records.putIfAbsent(record.window, record)
        record.sentThrough?.let { sentThrough = maxOf(sentThrough, it) }
    }

    /** Forgets everything but the epoch, after the store has lost records. */
    fun clear() {
        end = null
        claim = null
        records.clear()
        sentThrough = Long.MIN_VALUE
    }

    /** Whether [claim] was made before the store was restored. */
    fun isBeforeRestore(claim: UsageClaim): Boolean = claim.token shr OFFSET_BITS < epoch

    companion object {
        private const val CLAIM_KEY = "claim"

        /** The offsets of the topic in one epoch of the store take up to this many bits of a fencing token. */
        private const val OFFSET_BITS = 32
        private val json = Json { ignoreUnknownKeys = true }

        /** The key and value of [claim]'s record. */
        fun encode(claim: UsageClaim): Pair<String, String> = CLAIM_KEY to json.encodeToString(UsageClaim.serializer(), claim)

        /** The key and value of [record]'s record; a window takes the place of an older one, so that the topic stays small. */
        fun encode(record: UsageRecord): Pair<String, String> =
            "window/${record.window.mod(UsageSettings.RETAINED_WINDOWS)}" to json.encodeToString(UsageRecord.serializer(), record)
    }
}
