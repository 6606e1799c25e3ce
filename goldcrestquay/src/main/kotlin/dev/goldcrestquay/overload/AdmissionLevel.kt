package dev.goldcrestquay.overload

import dev.goldcrestquay.link.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The share of each kind of request that one service takes.
 *
 * Lowers the share of the offered work that is taken while more than [PRESSURE_HIGH] of what is let through finds no room, and raises it
 * while less than [PRESSURE_LOW] does. What is taken goes to the most urgent kinds first. The load that it answers: callers offer two to
 * three times the room for some seconds, so that urgent requests find slots and queues taken by less urgent ones.
 */
internal class AdmissionLevel(
    private val clock: Clock,
    openness: Double = 1.0,
    shares: Map<String, Double> = emptyMap(),
) {
    /** The share of the offered work that is taken. */
    var openness = openness
        private set
    private var movedAt = -Duration.INFINITE

    /** The share that is taken, by route; empty while the service takes all. */
    var shares: Map<String, Double> = shares
        private set

    /** Moves the level by one step towards what [load] calls for, at most once in [STEP_INTERVAL]. */
    fun update(load: ServiceLoad) {
        if (clock() - movedAt < STEP_INTERVAL) return
        movedAt = clock()
        val pressure = if (load.arrivals < MINIMUM_ARRIVALS) 0.0 else load.pressure
        openness =
            when {
                pressure > PRESSURE_HIGH -> openness * (1.0 - pressure * STEP_SHARE)
                pressure < PRESSURE_LOW -> openness + OPENING_STEP
                else -> openness
            }.coerceIn(SMALLEST_OPENNESS, 1.0)
        val wanted = if (openness == 1.0) emptyMap() else sharesByRank(load.kinds, openness)
        shares =
            (wanted.keys + shares.keys)
                .associateWith { route ->
                    val present = shares[route] ?: 1.0
                    (wanted[route] ?: 1.0).coerceIn(present - LARGEST_STEP, present + LARGEST_STEP).coerceAtMost(1.0)
                }.filterValues { it < 1.0 }
    }

    companion object {
        val STEP_INTERVAL: Duration = 250.milliseconds

        const val PRESSURE_HIGH = 0.05
        const val PRESSURE_LOW = 0.02

        /** The fewest arrivals in the window from which the pressure is more than chance. */
        const val MINIMUM_ARRIVALS = 5.0

        /** The part of the pressure that one step removes. */
        private const val STEP_SHARE = 0.5
        private const val OPENING_STEP = 0.05
        private const val SMALLEST_OPENNESS = 0.1

        /** The most that a kind's share changes in one step. */
        private const val LARGEST_STEP = 0.15
    }
}

/**
 * Divides the share [openness] of the offered work among [kinds], the most urgent first.
 *
 * Kinds of the same rank get the same share. Every kind gets at least [FLOOR] of the mean share. A kind gets no larger share than more
 * urgent kinds are served in, with [RANK_TOLERANCE], unless those are too few to tell.
 */
internal fun sharesByRank(
    kinds: List<KindLoad>,
    openness: Double,
): Map<String, Double> {
    val floor = openness * FLOOR
    var room = kinds.sumOf { it.workMilliseconds } * (openness - floor)
    var limit = 1.0
    val shares = HashMap<String, Double>()
    kinds.groupBy { it.rank }.toSortedMap().values.forEach { group ->
        val work = group.sumOf { it.workMilliseconds }
        val given = (work * (1.0 - floor)).coerceAtMost(room)
        room -= given
        val share = (if (work > 0) floor + given / work else 1.0).coerceIn(floor, limit.coerceAtLeast(floor))
        group.forEach { shares[it.route] = share }
        val lost = group.filter { it.arrivals >= AdmissionLevel.MINIMUM_ARRIVALS }.maxOfOrNull { it.lostShare } ?: 0.0
        limit = minOf(limit, share, 1.0 - lost + RANK_TOLERANCE)
    }
    return shares
}

/** The smallest share of a kind, as a part of the mean share; callers count a kind as starved below a quarter. */
internal const val FLOOR = 0.35

/** How far a kind may be served more often than a more urgent one. */
internal const val RANK_TOLERANCE = 0.05
