package dev.goldcrestquay.machine

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** An IP address and a port. */
@Serializable
public data class SocketAddress(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val LARGEST_PORT = 65_535

        /** Reads `10.0.0.1:8080`, or returns null. */
        public fun parse(text: String): SocketAddress? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
            return SocketAddress(host, port).takeIf { host.isNotEmpty() && port in 1..LARGEST_PORT }
        }
    }
}

/** Whether a target takes new requests. */
public enum class TargetPhase {
    /** The target takes requests. */
    READY,

    /** The target finishes its requests in flight and takes no new ones. */
    DRAINING,
}

/**
 * What a target on the platform reports about itself in its heartbeats; in the project's own interface, operators list each target.
 *
 * @property id identifies one start of the target; a target may also keep it over a restart, see [startedAt].
 * @property version the version of its software.
 * @property slots the requests that the target runs at the same time.
 * @property warmUpLeft the rest of its warm-up when it wrote the heartbeat.
 * @property startedAt its start in Unix milliseconds, or null when not reported; orders the starts of targets with the same [id].
 * @property heartbeat the number of the heartbeat, counted from the start of the target.
 */
@Serializable
public data class RegisteredTarget(
    val id: String,
    val service: String,
    val address: SocketAddress,
    val dataCentre: String,
    val version: String,
    val slots: Int,
    val phase: TargetPhase,
    val warmUpLeft: Duration,
    val startedAt: Long?,
    val heartbeat: Long,
) {
    /** Whether [other] is the same except for the number of the heartbeat. */
    public fun equalsExceptHeartbeat(other: RegisteredTarget): Boolean = copy(heartbeat = other.heartbeat) == other

    /** Whether this heartbeat was written before [other], by the same start of the target or by an earlier one. */
    public fun isOlderThan(other: RegisteredTarget): Boolean {
        val start = startedAt ?: 0
        val otherStart = other.startedAt ?: 0
        return start < otherStart || (start == otherStart && heartbeat < other.heartbeat)
    }
}
