package dev.goldcrestquay.machine

import dev.goldcrestquay.contract.RoutePlan
import dev.goldcrestquay.move.RolloutOrder
import dev.goldcrestquay.move.RolloutVerdict
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A stream of records in the platform's store. */
public enum class Feed {
    /** The plan and the orders of operators. */
    OPERATOR,

    /** The heartbeats of targets. */
    TARGETS,

    /** The states of rollouts, written by the entry VMs. */
    VERDICTS,
}

/** One record of the store; of two records with the same [key] in one [feed], the one with the higher [position] holds. */
@Serializable
public sealed interface SharedRecord {
    /** The stream that holds the record. */
    public val feed: Feed

    /** What the record is about. */
    public val key: String

    /** The record's offset in its stream. */
    public val offset: Long

    /** The epoch of the store in which the record was read; see [LogPosition]. */
    public val epoch: Long

    /** The record's place in the order of its stream. */
    public val position: LogPosition get() = LogPosition(epoch, offset)

    /** The same record at another [position]. */
    public fun at(position: LogPosition): SharedRecord =
        when (this) {
            is TargetRecord -> copy(offset = position.offset, epoch = position.epoch)
            is PlanRecord -> copy(offset = position.offset, epoch = position.epoch)
            is RolloutRecord -> copy(offset = position.offset, epoch = position.epoch)
            is EvacuationRecord -> copy(offset = position.offset, epoch = position.epoch)
            is VerdictRecord -> copy(offset = position.offset, epoch = position.epoch)
        }
}

/**
 * The latest heartbeat of a target, or null when the target was removed.
 *
 * @property removedTarget the last heartbeat of a target that was removed, if it is known: only a newer one registers it again.
 */
@Serializable
@SerialName("target")
public data class TargetRecord(
    override val key: String,
    override val offset: Long,
    val target: RegisteredTarget?,
    override val epoch: Long = 0,
    val removedTarget: RegisteredTarget? = null,
) : SharedRecord {
    override val feed: Feed get() = Feed.TARGETS
}

/** The operators' plan. */
@Serializable
@SerialName("plan")
public data class PlanRecord(
    override val key: String,
    override val offset: Long,
    val plan: RoutePlan,
    override val epoch: Long = 0,
) : SharedRecord {
    override val feed: Feed get() = Feed.OPERATOR
}

/** An order to roll a service out to another version, or null when the order was withdrawn. */
@Serializable
@SerialName("rollout")
public data class RolloutRecord(
    override val key: String,
    override val offset: Long,
    val service: String,
    val order: RolloutOrder?,
    override val epoch: Long = 0,
) : SharedRecord {
    override val feed: Feed get() = Feed.OPERATOR
}

/** Whether a data centre is evacuated, so that its targets get no requests. */
@Serializable
@SerialName("evacuation")
public data class EvacuationRecord(
    override val key: String,
    override val offset: Long,
    val dataCentre: String,
    val evacuated: Boolean,
    override val epoch: Long = 0,
) : SharedRecord {
    override val feed: Feed get() = Feed.OPERATOR
}

/** The state of a rollout, written by the entry VMs. */
@Serializable
@SerialName("verdict")
public data class VerdictRecord(
    override val key: String,
    override val offset: Long,
    val service: String,
    val verdict: RolloutVerdict?,
    override val epoch: Long = 0,
) : SharedRecord {
    override val feed: Feed get() = Feed.VERDICTS
}
