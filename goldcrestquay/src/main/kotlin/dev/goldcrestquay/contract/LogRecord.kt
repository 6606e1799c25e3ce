package dev.goldcrestquay.contract

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** A record of the environment's stream on the log. */
@Serializable
public sealed interface LogRecord

/**
 * A change of the environment document, given per service so that its size does not grow with the environment.
 *
 * @property id names the change, so that a publisher finds its own record after a lost reply.
 * @property base the generation that the operator saw; the change is refused when another is in force.
 * @property services the services added or replaced, by name; null removes one.
 * @property moves the moves added or replaced, by name; null removes one.
 */
@Serializable
@SerialName("change")
public data class EnvironmentChange(
    val id: String,
    val base: Long,
    val name: String? = null,
    val regions: List<Region>? = null,
    val services: Map<String, Service?> = emptyMap(),
    val dataCentresOut: Set<String>? = null,
    val moves: Map<String, Move?> = emptyMap(),
    val measuring: MeasuringBudget? = null,
) : LogRecord

/** How a move ended. */
@Serializable
public enum class VerdictKind {
    /** The new version carries all traffic. */
    @SerialName("finished")
    FINISHED,

    /** The old version carries all traffic. */
    @SerialName("taken-back")
    TAKEN_BACK,
}

/**
 * The end of a move; the first one on the log for a move counts.
 *
 * @property started the generation that brought the move.
 * @property reason why, in words for the operator.
 * @property by the entry VM or operator that recorded it.
 */
@Serializable
@SerialName("verdict")
public data class Verdict(
    val move: String,
    val started: Long,
    val kind: VerdictKind,
    val reason: String,
    val by: String,
) : LogRecord

/** The advance of a move to a step; counts only when it is the step after the one in force. */
@Serializable
@SerialName("step")
public data class MoveAdvance(
    val move: String,
    val started: Long,
    val step: Int,
) : LogRecord

/**
 * A claim or renewal of service leases; counts for a service only when [replaces] names the lease in force.
 *
 * @property replaces for each service the offset of the lease it takes the place of, 0 for none.
 */
@Serializable
@SerialName("lease")
public data class LeaseClaim(
    val holder: String,
    val replaces: Map<String, Long>,
) : LogRecord

/** A copy of the state at [state]'s offset, kept on a stream of its own so that older records may lapse. */
@Serializable
@SerialName("snapshot")
public data class Snapshot(
    val state: EnvironmentState,
    val by: String,
) : LogRecord

/**
 * Says on the environment's stream where the newest snapshot is, so that only those who need it read it.
 *
 * @property at the snapshot's offset on the stream of snapshots.
 * @property covered the offset of the state in it.
 * @property generation the generation of the state in it.
 */
@Serializable
@SerialName("snapshot-note")
public data class SnapshotNote(
    val at: Long,
    val covered: Long,
    val generation: Long,
) : LogRecord

/**
 * An operator's new start from a whole document, for a log that lost records before anyone read them.
 *
 * It needs nothing that came before it, so every reader that sees it has the same state, complete or not.
 */
@Serializable
@SerialName("restart")
public data class Restart(
    val id: String,
    val environment: Environment,
) : LogRecord

/** Reads and writes log records as one line of JSON. */
public object LogRecords {
    private val json = Json { encodeDefaults = false }

    /** The text of [record]. */
    public fun write(record: LogRecord): String = json.encodeToString(LogRecord.serializer(), record)

    /** The record in [text], or null when it is none of this version's records. */
    public fun read(text: String): LogRecord? =
        try {
            json.decodeFromString(LogRecord.serializer(), text)
        } catch (_: IllegalArgumentException) {
            null
        }
}
