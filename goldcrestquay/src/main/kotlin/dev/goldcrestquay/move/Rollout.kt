package dev.goldcrestquay.move

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/**
 * An operator's order on the platform to roll out [targetVersion] of a service within [duration].
 *
 * In the project's own interface, the environment declares a `Move` instead.
 */
@Serializable
public data class RolloutOrder(
    val service: String,
    val targetVersion: String,
    val duration: Duration,
)

/** How far a rollout has come, as reported to the operator. */
public enum class RolloutOutcome {
    /** The rollout is under way. */
    RUNNING,

    /** All traffic goes to the new version; the old targets may stop. */
    COMPLETED,

    /** The rollout failed, and the new version gets no more requests. */
    ROLLED_BACK,
}

/** A report on the rollout of [targetVersion], as the leader writes it to the store. */
@Serializable
public data class RolloutVerdict(
    val targetVersion: String,
    val outcome: RolloutOutcome,
) {
    /** Whether the rollout has ended. */
    public val isFinal: Boolean get() = outcome != RolloutOutcome.RUNNING
}

/** The phases of a rollout, each with its split of the service's traffic. */
public enum class RolloutPhase(
    /** The share of the service's requests that the new version gets, from 0 to 1, unless the rollout states its own. */
    public val share: Double,
) {
    /** The new version gets a small share of the requests, to gather evidence; see [RolloutState.share]. */
    TRIAL(0.06),

    /** All new requests go to the new version while requests on old targets finish. */
    SHIFTED(1.0),

    /** The new version keeps all traffic. */
    COMPLETED(1.0),

    /** The new version gets no requests. */
    ROLLED_BACK(0.0),
}

/**
 * A rollout as the entry VMs know it.
 *
 * @property share the share of the service's requests that the new version gets, from 0 to 1.
 */
@Serializable
public data class RolloutState(
    val order: RolloutOrder,
    val phase: RolloutPhase,
    val share: Double = phase.share,
)
