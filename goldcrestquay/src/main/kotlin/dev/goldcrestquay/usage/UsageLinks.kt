package dev.goldcrestquay.usage

import dev.goldcrestquay.link.StoreResult

/** A record of the duty's topic in the platform's store; the store retains the newest one of each [key]. */
public data class TopicRecord(
    val key: String,
    val value: String,
    val offset: Long,
)

/**
 * Records of the duty's topic.
 *
 * @property end the offset to read on from.
 * @property epoch rises by one each time the store is restored from an older copy of itself.
 */
public data class TopicRecords(
    val records: List<TopicRecord>,
    val end: Long,
    val epoch: Long = 0,
)

/**
 * The duty's topic in the platform's store, a log that nothing else writes to.
 *
 * @property newest reads the newest record of every key; not at one moment, so that the records from its end on must be read as well.
 * @property read reads the records from an offset on, without waiting for any.
 * @property append appends a value under a key if the topic ends at the offset, and returns the store's epoch, since the topic of a
 *   restored store may end there by chance. A call without an answer may be carried out much later,
 *   if the topic ends there still.
 */
public class UsageStoreLink(
    public val newest: suspend () -> StoreResult<TopicRecords>,
    public val read: suspend (from: Long) -> StoreResult<TopicRecords>,
    public val append: suspend (key: String, value: String, endOffset: Long) -> StoreResult<Long>,
)

/**
 * One report of the usage in a [window].
 *
 * @property holder the name of the entry VM that holds the duty.
 * @property token the fencing token of its claim.
 * @property counts the requests that targets began to run in the window, by organisation.
 */
public data class UsageCall(
    val holder: String,
    val token: Long,
    val window: Long,
    val counts: Map<String, Long>,
)

/** What became of a [UsageCall]. */
public sealed interface UsageAnswer {
    /** The platform has the report. */
    public data object Accepted : UsageAnswer

    /** The platform has seen a higher fencing token and has done nothing. */
    public data object Fenced : UsageAnswer

    /** The platform gets too many calls and has done nothing. */
    public data object Throttled : UsageAnswer

    /** The call was not answered, or with an error; it may have been carried out, or may still be. */
    public data class Unknown(
        val reason: String,
    ) : UsageAnswer
}

/**
 * Sends a [UsageCall] to the platform, repeated without change it has no further effect.
 *
 * Nothing is sent if the function returns false; it is asked right before the first byte.
 */
public typealias UsageCallLink = suspend (UsageCall, maySend: () -> Boolean) -> UsageAnswer

/** The outside systems that the duty depends on. */
public class UsageLinks(
    public val store: UsageStoreLink,
    public val call: UsageCallLink,
)
