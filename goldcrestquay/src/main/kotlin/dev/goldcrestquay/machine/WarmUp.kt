package dev.goldcrestquay.machine

import dev.goldcrestquay.contract.Target

/** Whether a target is warm, so that it can take its full load. */
public sealed interface Warmth {
    /** The epoch of the target's start that this state belongs to. */
    public val startEpoch: Long

    /** The target can take its full load. */
    public data class Warm(
        override val startEpoch: Long,
    ) : Warmth

    /**
     * The target has started recently and gets few calls at a time.
     *
     * @property allowance the most calls in flight to it over the whole fleet.
     * @property goodAnswers the successful answers since the allowance last grew.
     */
    public data class Cold(
        override val startEpoch: Long,
        val allowance: Int,
        val goodAnswers: Int = 0,
    ) : Warmth
}

/** The allowance doubles after this many successful answers for each call that it allows. */
private const val ANSWERS_PER_ALLOWED_CALL = 4

/** A target is warm once its allowance would exceed this multiple of its slots. */
private const val WARM_SLOT_FACTOR = 2

/** The cold state right after the start [startEpoch]. */
public fun Target.cold(startEpoch: Long): Warmth.Cold = Warmth.Cold(startEpoch, coldAllowance)

/** The state after one more successful answer: the allowance doubles after enough of them, until the target is warm. */
public fun Warmth.Cold.afterGoodAnswer(target: Target): Warmth {
    val answers = goodAnswers + 1
    if (answers < allowance * ANSWERS_PER_ALLOWED_CALL) return copy(goodAnswers = answers)
    val grown = allowance * 2
    return if (grown > target.slots * WARM_SLOT_FACTOR) Warmth.Warm(startEpoch) else Warmth.Cold(startEpoch, grown)
}

/** The state after a failure: the allowance starts over at the target's configured cold allowance. */
public fun Warmth.Cold.afterFault(target: Target): Warmth = target.cold(startEpoch)
