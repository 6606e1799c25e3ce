package dev.goldcrestquay.link

import dev.goldcrestquay.machine.Feed
import dev.goldcrestquay.machine.SharedRecord
import dev.goldcrestquay.move.RolloutVerdict
import kotlin.time.Duration

/** What a call to the platform's store came to. */
public sealed interface StoreResult<out T> {
    /** The store answered. */
    public data class Done<T>(
        val value: T,
    ) : StoreResult<T>

    /** Records that were asked for are gone from the log; the newest of each key must be read. */
    public data object Forgotten : StoreResult<Nothing>

    /** The store was ahead of the condition; nothing was written. */
    public data object Conflict : StoreResult<Nothing>

    /** The store refused, or did not answer; a write may have been done or be done later. */
    public data class Unavailable(
        val reason: String,
    ) : StoreResult<Nothing>
}

/** Records of a feed and the offset that follows the last one looked at. */
public data class StoreRecords(
    val records: List<SharedRecord>,
    val end: Long,
)

/**
 * The platform's store.
 *
 * @property newest reads the newest record of every key of a feed.
 * @property read reads on from an offset; waits up to the duration for a record.
 * @property writeVerdict writes how a move stands, if the feed still ends at the offset given.
 */
public class StoreLink(
    public val newest: suspend (Feed) -> StoreResult<StoreRecords>,
    public val read: suspend (Feed, Long, Duration) -> StoreResult<StoreRecords>,
    public val writeVerdict: suspend (service: String, verdict: RolloutVerdict, endOffset: Long) -> StoreResult<Long>,
)
