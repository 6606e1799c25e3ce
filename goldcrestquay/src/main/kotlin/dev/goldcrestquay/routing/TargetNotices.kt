package dev.goldcrestquay.routing

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.machine.FleetEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * What a target says in one of its answers about requests to come.
 *
 * @property isLeaving whether it is about to stop.
 * @property silence how long it wants no request from this entry VM, or null when it does not say so.
 * @property unreadable what it says in a form that can't be read, and so does not count; null when there is none.
 */
public data class TargetNotice(
    val isLeaving: Boolean = false,
    val silence: Duration? = null,
    val unreadable: String? = null,
)

/** Whether a target may get a request, according to what it says of itself; in the order of preference. */
public enum class TargetAllowance {
    /** It may. */
    OPEN,

    /** Only if the request can go to no other: the target leaves, and has said so a moment ago. */
    LAST_RESORT,

    /** It may not. */
    CLOSED,
}

/**
 * What targets said of themselves, by identifier, so that it ends with the start of a target; confined to the entry VM's event loop.
 *
 * Neither the store's records nor a later answer that says nothing undoes it. A target that asks for several times without requests gets
 * none until the last of them ends.
 */
public class TargetNotices(
    private val clock: Clock,
    private val report: (FleetEvent) -> Unit = { },
) {
    private class Held(
        var registeredAt: Duration,
    ) {
        var leavingSince: Duration? = null
        var silentUntil = Duration.ZERO
        var isUnreadableReported = false
    }

    private val heldByTarget = HashMap<String, Held>()

    /** The number of targets of which something is held. */
    public val size: Int get() = heldByTarget.size

    /** Records the [notice] that the target called [id] gave in an answer of its own. */
    public fun record(
        id: String,
        notice: TargetNotice,
    ) {
        if (notice == NOTHING) return
        val now = clock()
        val held = heldByTarget.getOrPut(id) { Held(now) }
        if (notice.isLeaving && held.leavingSince == null) {
            held.leavingSince = now
            report(FleetEvent.TargetLeaving(id))
        }
        notice.silence?.let { silence ->
            if (held.silentUntil <= now) report(FleetEvent.TargetSilent(id, silence))
            held.silentUntil = maxOf(held.silentUntil, now + silence.coerceAtMost(MAXIMUM_SILENCE))
        }
        if (notice.unreadable != null && !held.isUnreadableReported) {
            held.isUnreadableReported = true
            report(FleetEvent.NoticeUnreadable(id, notice.unreadable))
        }
    }

    /** Whether the target called [id] may get a request now. */
    public fun allowance(id: String): TargetAllowance {
        val held = heldByTarget[id] ?: return TargetAllowance.OPEN
        val now = clock()
        val leavingSince = held.leavingSince
        return when {
            now < held.silentUntil -> TargetAllowance.CLOSED
            leavingSince == null -> TargetAllowance.OPEN
            now < leavingSince + LAST_RESORT_DURATION -> TargetAllowance.LAST_RESORT
            else -> TargetAllowance.CLOSED
        }
    }

    /** Whether the target called [id] has said that it leaves. */
    public fun isLeaving(id: String): Boolean = heldByTarget[id]?.leavingSince != null

    /** The rest of the time in which the target called [id] wants no request; zero when there is none. */
    public fun silenceLeft(id: String): Duration =
        heldByTarget[id]?.let { it.silentUntil - clock() }?.coerceAtLeast(Duration.ZERO) ?: Duration.ZERO

    /** Forgets targets that have not been among the [registered] ones for [FORGETTING_DELAY]. */
    public fun retain(registered: Set<String>) {
        if (heldByTarget.isEmpty()) return
        val now = clock()
        heldByTarget.entries.removeIf { (id, held) ->
            if (id in registered) held.registeredAt = now
            now - held.registeredAt > FORGETTING_DELAY
        }
    }

    private companion object {
        val NOTHING = TargetNotice()

        /** Half of the shortest time for which the platform lets a target that leaves get requests. */
        val LAST_RESORT_DURATION = 1.seconds

        /** A record that was lost, such as in an outage of the store, is back by then if its target still runs. */
        val FORGETTING_DELAY = 5.minutes

        /** Longer than any target runs, and short enough to be added to a time. */
        val MAXIMUM_SILENCE = (60 * 24 * 365 * 10).minutes
    }
}
