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
    val current: Int get() = limit.toInt().coerceIn(FLOOR, ceiling.coerceAtLeast(FLOOR))

    /** Sets the upper bound, which is the number of connections that this entry VM may open to the target. */
    fun ceiling(value: Int) {
        ceiling = value
        limit = limit.coerceAtMost(value.toDouble()).coerceAtLeast(FLOOR.toDouble())
    }

    /** Cuts the limit after the target shed a call while it held [inFlight] calls of this entry VM. */
    fun shed(inFlight: Int) {
        limit = (minOf(limit, inFlight.toDouble()) * SHED_FACTOR).coerceAtLeast(FLOOR.toDouble())
    }

    /** Raises the limit after a good answer, by one for as many answers as the limit allows calls. */
    fun answered() {
        limit = (limit + GROWTH / limit).coerceAtMost(ceiling.toDouble().coerceAtLeast(FLOOR.toDouble()))
    }

    private companion object {
        const val FLOOR = 1
        const val SHED_FACTOR = 0.8
        const val GROWTH = 1.0
    }
}
