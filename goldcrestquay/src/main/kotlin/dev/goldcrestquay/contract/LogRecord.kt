package dev.goldcrestquay.contract

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** A record of the environment's stream on the log. */
@Serializable
public sealed interface LogRecord

/**
 * A change of the environment document; it lists only what differs, so that its size does not grow with the environment.
 *
 * A property that is null leaves its part of the document as it is.
 *
 * @property id identifies the change, so that a publisher finds its own record after a lost reply.
 * @property base the generation that the operator based the change on; the change is refused when another one is in force.
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

    /** The move was rolled back, and the old version carries all traffic. */
    @SerialName("taken-back")
    TAKEN_BACK,
}

/**
 * The end of a move; the first verdict on the log for a move counts.
 *
 * @property move the name of the move.
 * @property started the generation that added or last changed the move.
 * @property reason the explanation shown to the operator.
 * @property by the entry VM or operator that recorded the verdict.
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

/**
 * The advance of a move to its next step; ignored unless [step] follows the step in force.
 *
 * @property move the name of the move.
 * @property started the generation that added or last changed the move.
 * @property step the index of the step to advance to.
 */
@Serializable
@SerialName("step")
public data class MoveAdvance(
    val move: String,
    val started: Long,
    val step: Int,
) : LogRecord

/**
 * A claim or renewal of service leases; granted for a service only when [replaces] names the lease in force.
 *
 * @property holder the identity of the entry VM that claims the leases.
 * @property replaces the offset of the lease to replace, by service; 0 when the service has none.
 */
@Serializable
@SerialName("lease")
public data class LeaseClaim(
    val holder: String,
    val replaces: Map<String, Long>,
) : LogRecord

/**
 * A copy of the state at its offset, kept on a separate stream so that the log may drop older records.
 *
 * @property by the entry VM that wrote the snapshot.
 */
@Serializable
@SerialName("snapshot")
public data class Snapshot(
    val state: EnvironmentState,
    val by: String,
) : LogRecord

/**
 * A pointer on the environment's stream to the newest snapshot, so that only entry VMs that need the snapshot read it.
 *
 * @property at the snapshot's offset on the stream of snapshots.
 * @property covered the offset of the state in the snapshot.
 * @property generation the generation of the state in the snapshot.
 */
@Serializable
@SerialName("snapshot-note")
public data class SnapshotNote(
    val at: Long,
    val covered: Long,
    val generation: Long,
) : LogRecord

/**
 * An operator's restart from a whole document, for a log that lost records before any entry VM read them.
 *
 * It depends on no earlier record, so every entry VM that reads it has the same state, whether or not it read all earlier records.
 *
 * @property id identifies the restart, so that a publisher finds its own record after a lost reply.
 */
@Serializable
@SerialName("restart")
public data class Restart(
    val id: String,
    val environment: Environment,
) : LogRecord

/** Encodes and decodes log records as one line of JSON. */
public object LogRecords {
    private val json = Json { encodeDefaults = false }

    /** Encodes [record]. */
    public fun write(record: LogRecord): String = json.encodeToString(LogRecord.serializer(), record)

    /** Decodes [text]; null when it is not a record that this version knows. */
    public fun read(text: String): LogRecord? =
        try {
            json.decodeFromString(LogRecord.serializer(), text)
        } catch (_: IllegalArgumentException) {
            null
        }
}
