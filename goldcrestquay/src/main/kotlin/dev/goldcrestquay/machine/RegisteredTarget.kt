package dev.goldcrestquay.machine

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** An IP number and a port. */
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

/** Whether a target takes new work. */
public enum class TargetPhase {
    /** The target takes work. */
    READY,

    /** The target finishes what it holds and takes no new work. */
    DRAINING,
}

/**
 * What a target says of itself in its heartbeats.
 *
 * @property id names one start of the target, mostly.
 * @property version the version of its software.
 * @property warmUpLeft how much longer it was slow when it wrote this.
 * @property startedAt its start in Unix milliseconds, or null when it does not say; orders starts under one [id].
 * @property heartbeat counts the heartbeats of one start.
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
    /** Whether [other] tells the same but for the heartbeat's number. */
    public fun sameNewsAs(other: RegisteredTarget): Boolean = copy(heartbeat = other.heartbeat) == other

    /** Whether this was written before [other], by the same start or an earlier one. */
    public fun isOlderThan(other: RegisteredTarget): Boolean {
        val start = startedAt ?: 0
        val otherStart = other.startedAt ?: 0
        return start < otherStart || (start == otherStart && heartbeat < other.heartbeat)
    }
}
