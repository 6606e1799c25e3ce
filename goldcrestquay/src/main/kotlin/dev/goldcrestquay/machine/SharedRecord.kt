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

/** One record of the store; of two records with the same [key] in one [feed], the one with the higher [offset] holds. */
@Serializable
public sealed interface SharedRecord {
    /** The stream that holds the record. */
    public val feed: Feed

    /** What the record is about. */
    public val key: String

    /** The record's offset in its stream. */
    public val offset: Long
}

/** The latest heartbeat of a target, or null when the target was removed. */
@Serializable
@SerialName("target")
public data class TargetRecord(
    override val key: String,
    override val offset: Long,
    val target: RegisteredTarget?,
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
) : SharedRecord {
    override val feed: Feed get() = Feed.VERDICTS
}
