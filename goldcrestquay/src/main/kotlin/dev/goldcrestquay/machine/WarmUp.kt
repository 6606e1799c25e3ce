package dev.goldcrestquay.machine

import dev.goldcrestquay.contract.Target

/**
 * The warm-up state of a target: warm, or cold since a recent start.
 *
 * Limits the calls in flight to a cold target of the environment. On the platform, targets report the rest of their warm-up, and
 * `ColdTargetLimiter` limits the rate of their requests.
 */
public sealed interface Warmth {
    /** Identifies the start of the target that this state belongs to; changes with each start. */
    public val startEpoch: Long

    /** The target can take its full load. */
    public data class Warm(
        override val startEpoch: Long,
    ) : Warmth

    /**
     * The target has started recently and gets few calls at a time.
     *
     * @property allowance the most calls in flight to it over the whole fleet.
     * @property successfulAnswers the successful answers since the allowance last grew.
     */
    public data class Cold(
        override val startEpoch: Long,
        val allowance: Int,
        val successfulAnswers: Int = 0,
    ) : Warmth
}

/** The allowance doubles after this many successful answers for each call that it allows. */
private const val ANSWERS_PER_ALLOWED_CALL = 4

/** A target is warm once its allowance would exceed this multiple of its slots. */
private const val WARM_SLOT_FACTOR = 2

/** The cold state right after the start [startEpoch]. */
public fun Target.cold(startEpoch: Long): Warmth.Cold = Warmth.Cold(startEpoch, coldAllowance)

/** The state after one more successful answer: the allowance doubles after enough of them, until the target is warm. */
public fun Warmth.Cold.afterSuccess(target: Target): Warmth {
    val answers = successfulAnswers + 1
    if (answers < allowance * ANSWERS_PER_ALLOWED_CALL) return copy(successfulAnswers = answers)
    val grown = allowance * 2
    return if (grown > target.slots * WARM_SLOT_FACTOR) Warmth.Warm(startEpoch) else Warmth.Cold(startEpoch, grown)
}

/** The state after a failure: the allowance starts over at the target's configured cold allowance. */
public fun Warmth.Cold.afterFailure(target: Target): Warmth = target.cold(startEpoch)
