package dev.goldcrestquay.machine

import dev.goldcrestquay.contract.RoutePlan
import dev.goldcrestquay.move.RolloutOrder
import dev.goldcrestquay.move.RolloutVerdict
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A stream of records in the platform's store. */
public enum class Feed {
    /** What operators order. */
    OPERATOR,

    /** What targets say of themselves. */
    TARGETS,

    /** What this system says about its work. */
    VERDICTS,
}

/**
 * One fact from the store; of two facts with the same [key] in one [feed], that with the higher [offset] holds.
 */
@Serializable
public sealed interface SharedRecord {
    /** The stream that holds the record. */
    public val feed: Feed

    /** What the record is about. */
    public val key: String

    /** The record's place in its stream. */
    public val offset: Long
}

/** A target's newest words of itself, or null when it is gone. */
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

/** An order to move a service to another version, or null when it was withdrawn. */
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

/** Whether a data centre is to get no work. */
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

/** How a move stands, as written by this system. */
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
