package dev.goldcrestquay.routing

/**
 * Limits this entry VM's calls in flight at one target by additive increase and multiplicative decrease.
 *
 * The limit is cut when the target sheds a call and grows again with good answers, up to the connections allowed.
 */
internal class ConcurrencyLimit(
    private var ceiling: Int,
) {
    private var limit = ceiling.toDouble()

    /** The number of calls that may be in flight. */
    val current: Int get() = limit.toInt().coerceIn(MINIMUM_LIMIT, ceiling.coerceAtLeast(MINIMUM_LIMIT))

    /** Sets the upper bound, which is the number of connections that this entry VM may open to the target. */
    fun updateCeiling(value: Int) {
        ceiling = value
        limit = limit.coerceAtMost(value.toDouble()).coerceAtLeast(MINIMUM_LIMIT.toDouble())
    }

    /** Cuts the limit after the target shed a call while it held [inFlight] calls of this entry VM. */
    fun recordShed(inFlight: Int) {
        limit = (minOf(limit, inFlight.toDouble()) * DECREASE_FACTOR).coerceAtLeast(MINIMUM_LIMIT.toDouble())
    }

    /** Raises the limit after a good answer, by one for as many answers as the limit allows calls. */
    fun recordSuccess() {
        limit = (limit + INCREASE_PER_ROUND / limit).coerceAtMost(ceiling.toDouble().coerceAtLeast(MINIMUM_LIMIT.toDouble()))
    }

    private companion object {
        const val MINIMUM_LIMIT = 1
        const val DECREASE_FACTOR = 0.8
        const val INCREASE_PER_ROUND = 1.0
    }
}
