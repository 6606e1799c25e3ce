package dev.goldcrestquay.move

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** An operator's order to move a service's traffic to [targetVersion] within [duration]. */
@Serializable
public data class RolloutOrder(
    val service: String,
    val targetVersion: String,
    val duration: Duration,
)

/** How far a move has come, for the operator. */
public enum class RolloutOutcome {
    /** Under way. */
    RUNNING,

    /** All traffic has moved; the old targets may stop. */
    COMPLETED,

    /** The new version was bad and gets nothing more. */
    ROLLED_BACK,
}

/** What the store says about the move to [targetVersion]. */
@Serializable
public data class RolloutVerdict(
    val targetVersion: String,
    val outcome: RolloutOutcome,
) {
    /** Whether the move has ended. */
    public val isFinal: Boolean get() = outcome != RolloutOutcome.RUNNING
}

/** The steps of a move. */
public enum class RolloutPhase(
    /** The share of the service's requests that the new version gets. */
    public val share: Double,
) {
    /** A small share gathers evidence. */
    TRIAL(0.06),

    /** All requests go to the new version while requests on old targets end. */
    SHIFTED(1.0),

    /** The new version keeps all traffic. */
    COMPLETED(1.0),

    /** The new version gets nothing. */
    ROLLED_BACK(0.0),
}

/**
 * A move as the entry VMs see it.
 *
 * @property orderOffset the place of the order in the store; a fencing token between successive orders of one service.
 */
@Serializable
public data class RolloutState(
    val order: RolloutOrder,
    val orderOffset: Long,
    val phase: RolloutPhase,
)
