package dev.goldcrestquay.link

import com.github.michaelbull.result.Result

/** Why an outside system gave no answer. */
public enum class LinkFailure {
    /** It cannot be reached; nothing was done. */
    UNREACHABLE,

    /** It was reached but no reply came; the action may have taken effect. */
    REPLY_LOST,

    /** It refused over its rate limit; nothing was done. */
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
 * @property oldest the oldest offset that the log still keeps.
 * @property next the offset to read from next.
 */
public data class LogBatch(
    val oldest: Long,
    val next: Long,
    val entries: List<LogEntry>,
)

/**
 * The platform's log service.
 *
 * @property append adds a record and returns its offset.
 * @property read returns the records from an offset on, as many as the log gives at once.
 */
public class LogLink(
    public val append: suspend (String) -> Result<Long, LinkFailure>,
    public val read: suspend (Long) -> Result<LogBatch, LinkFailure>,
)
