package dev.goldcrestquay.routing

/** Bounds this entry VM's calls in flight at one target: cut when the target sheds, regrown by good answers. */
internal class ConcurrencyLimit(
    private var ceiling: Int,
) {
    private var limit = ceiling.toDouble()

    /** The calls that may be in flight. */
    val current: Int get() = limit.toInt().coerceIn(FLOOR, ceiling.coerceAtLeast(FLOOR))

    /** Sets the most that connections allow. */
    fun ceiling(value: Int) {
        ceiling = value
        limit = limit.coerceAtMost(value.toDouble()).coerceAtLeast(FLOOR.toDouble())
    }

    /** Cuts the limit after a target shed a call while [inFlight] were with it. */
    fun shed(inFlight: Int) {
        limit = (minOf(limit, inFlight.toDouble()) * SHED_FACTOR).coerceAtLeast(FLOOR.toDouble())
    }

    /** Lets the limit grow by one for each round of good answers. */
    fun answered() {
        limit = (limit + GROWTH / limit).coerceAtMost(ceiling.toDouble().coerceAtLeast(FLOOR.toDouble()))
    }

    private companion object {
        const val FLOOR = 1
        const val SHED_FACTOR = 0.8
        const val GROWTH = 1.0
    }
}
