package dev.goldcrestquay.usage

import kotlin.time.Duration

/** What an entry VM that holds the duty of reporting usage, or claims it, decides and learns. */
public sealed interface UsageEvent {
    /** This process holds the duty with [token] and may send from [mayActIn] on. */
    public data class Claimed(
        val token: Long,
        val mayActIn: Duration,
    ) : UsageEvent

    /** This process no longer holds the duty with [token]; [reason] says why. */
    public data class HolderLost(
        val token: Long,
        val reason: String,
    ) : UsageEvent

    /** The counts of [window] were written and can't change any more: [requests] of [organisations], counted by [processes]. */
    public data class WindowWritten(
        val window: Long,
        val token: Long,
        val requests: Long,
        val organisations: Int,
        val processes: Int,
    ) : UsageEvent

    /** The platform has the report on [window], [after] the window's end; [isLate] if that was after it was due. */
    public data class WindowSent(
        val window: Long,
        val token: Long,
        val after: Duration,
        val isLate: Boolean,
    ) : UsageEvent

    /** The windows [from] to [through] are not told, or it isn't known that the platform has them; [reason] says why. */
    public data class WindowsLost(
        val from: Long,
        val through: Long,
        val reason: String,
    ) : UsageEvent

    /** A report on [window] failed and is repeated without change. */
    public data class CallFailed(
        val window: Long,
        val token: Long,
        val reason: String,
    ) : UsageEvent

    /** A call to the store failed, or a step ended with an unexpected error; it is repeated. */
    public data class DutyStepFailed(
        val reason: String,
    ) : UsageEvent

    /** The record at [offset] of the duty's topic can't be read, so that no window up to now is written again. */
    public data class RecordUnreadable(
        val key: String,
        val offset: Long,
        val reason: String,
    ) : UsageEvent

    /** The wall clock jumped, which lasted, and is followed from now on. */
    public data class ClockJumped(
        val jump: Duration,
    ) : UsageEvent
}
