package dev.goldcrestquay.link

import com.github.michaelbull.result.Result

/** Why a call to an outside system failed. */
public enum class LinkFailure {
    /** The system cannot be reached; the call had no effect. */
    UNREACHABLE,

    /** The call was sent but no reply arrived; the call may have taken effect. */
    REPLY_LOST,

    /** The system refused the call because of its rate limit; the call had no effect. */
    THROTTLED,
}

/** One record of the log at its [offset]. */
public data class LogEntry(
    val offset: Long,
    val text: String,
)

/**
 * Records read from the log.
 *
 * @property oldest the oldest offset that the log retains.
 * @property next the offset to continue reading from.
 */
public data class LogBatch(
    val oldest: Long,
    val next: Long,
    val entries: List<LogEntry>,
)

/**
 * The platform's log service.
 *
 * @property append appends a record and returns its offset.
 * @property read returns the records from an offset on, as many as the log returns in one reply.
 */
public class LogLink(
    public val append: suspend (String) -> Result<Long, LinkFailure>,
    public val read: suspend (Long) -> Result<LogBatch, LinkFailure>,
)
