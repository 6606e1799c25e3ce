package dev.goldcrestquay.link

import dev.goldcrestquay.machine.Feed
import dev.goldcrestquay.machine.SharedRecord
import dev.goldcrestquay.move.RolloutVerdict
import kotlin.time.Duration

/** The result of a call to the platform's store. */
public sealed interface StoreResult<out T> {
    /** The call succeeded. */
    public data class Done<T>(
        val value: T,
    ) : StoreResult<T>

    /** The log no longer has the requested records; the caller must read the newest record of each key. */
    public data object Forgotten : StoreResult<Nothing>

    /** The condition of the write failed because the feed has newer records; nothing was written. */
    public data object Conflict : StoreResult<Nothing>

    /** The store refused or did not answer; a write may have taken effect or may still do so. */
    public data class Unavailable(
        val reason: String,
    ) : StoreResult<Nothing>
}

/**
 * Records of a feed.
 *
 * @property end the offset after the last record that the store examined.
 * @property epoch rises by one each time the store is restored from an older copy of itself, which loses its latest records.
 */
public data class StoreRecords(
    val records: List<SharedRecord>,
    val end: Long,
    val epoch: Long = 0,
)

/**
 * The platform's store.
 *
 * @property newest reads the newest record of every key of a feed.
 * @property read reads a feed from an offset on; a long poll that waits up to the given duration for a record.
 * @property writeVerdict writes the state of a rollout and returns the offset of the record, if the feed still ends at `endOffset`.
 */
public class StoreLink(
    public val newest: suspend (Feed) -> StoreResult<StoreRecords>,
    public val read: suspend (Feed, Long, Duration) -> StoreResult<StoreRecords>,
    public val writeVerdict: suspend (service: String, verdict: RolloutVerdict, endOffset: Long) -> StoreResult<Long>,
)
