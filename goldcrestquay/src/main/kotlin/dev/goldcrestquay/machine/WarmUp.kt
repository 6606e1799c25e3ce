package dev.goldcrestquay.machine

import dev.goldcrestquay.contract.Target

/** Whether a target bears its full load. */
public sealed interface Warmth {
    /** The start of the target that this state speaks of. */
    public val startEpoch: Long

    /** The target bears its full load. */
    public data class Warm(
        override val startEpoch: Long,
    ) : Warmth

    /**
     * The target has started a short while ago.
     *
     * @property allowance the calls in flight it bears, fleet-wide.
     * @property goodAnswers the good answers since the allowance last grew.
     */
    public data class Cold(
        override val startEpoch: Long,
        val allowance: Int,
        val goodAnswers: Int = 0,
    ) : Warmth
}

private const val ANSWERS_PER_ALLOWED_CALL = 4
private const val WARM_SLOT_FACTOR = 2

/** The state right after a start. */
public fun Target.cold(startEpoch: Long): Warmth.Cold = Warmth.Cold(startEpoch, coldAllowance)

/** The state after one more good answer: the allowance doubles after enough of them, until the target is warm. */
public fun Warmth.Cold.afterGoodAnswer(target: Target): Warmth {
    val answers = goodAnswers + 1
    if (answers < allowance * ANSWERS_PER_ALLOWED_CALL) return copy(goodAnswers = answers)
    val grown = allowance * 2
    return if (grown > target.slots * WARM_SLOT_FACTOR) Warmth.Warm(startEpoch) else Warmth.Cold(startEpoch, grown)
}

/** The state after a fault: growth starts over at the target's own allowance. */
public fun Warmth.Cold.afterFault(target: Target): Warmth = target.cold(startEpoch)
