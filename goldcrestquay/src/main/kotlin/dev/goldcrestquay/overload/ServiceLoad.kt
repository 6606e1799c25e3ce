package dev.goldcrestquay.overload

import kotlinx.serialization.Serializable
import kotlin.math.round

/**
 * What was asked of a service by requests of one kind lately, as counts that decay with a time constant of [LoadCounter.WINDOW].
 *
 * @property arrivals the requests that asked for room.
 * @property workMilliseconds the work that they need, in milliseconds of a slot.
 * @property yielded the requests refused for more urgent ones.
 * @property refused the requests refused because they found no room or no time.
 * @property rejected the attempts that targets rejected as full.
 * @property cut the requests that were sent and did not end in their time.
 */
@Serializable
public data class KindLoad(
    val route: String,
    val priority: Int,
    val isSpill: Boolean,
    val arrivals: Double,
    val workMilliseconds: Double,
    val yielded: Double,
    val refused: Double,
    val rejected: Double,
    val cut: Double,
) {
    internal val rank: RequestRank get() = RequestRank(priority, isSpill)

    /** The share of the requests that were not served for lack of room. */
    internal val lostShare: Double get() = if (arrivals > 0) ((yielded + refused + cut) / arrivals).coerceIn(0.0, 1.0) else 0.0

    /** The load with two decimals, which keeps messages short. */
    internal fun rounded(): KindLoad =
        copy(
            arrivals = rounded(arrivals),
            workMilliseconds = rounded(workMilliseconds),
            yielded = rounded(yielded),
            refused = rounded(refused),
            rejected = rounded(rejected),
            cut = rounded(cut),
        )

    private fun rounded(count: Double) = round(count * DECIMALS) / DECIMALS

    private companion object {
        const val DECIMALS = 100
    }

    internal operator fun plus(other: KindLoad): KindLoad =
        copy(
            arrivals = arrivals + other.arrivals,
            workMilliseconds = workMilliseconds + other.workMilliseconds,
            yielded = yielded + other.yielded,
            refused = refused + other.refused,
            rejected = rejected + other.rejected,
            cut = cut + other.cut,
        )
}

/** What was asked of [service] lately, as one entry VM or a part of the fleet sees it. */
@Serializable
public data class ServiceLoad(
    val service: String,
    val kinds: List<KindLoad>,
) {
    internal val arrivals: Double get() = kinds.sumOf { it.arrivals }

    internal fun rounded(): ServiceLoad = copy(kinds = kinds.map { it.rounded() })

    /** The pressure: the share of the requests and attempts let through that found no room; 0 while there is room for all. */
    internal val pressure: Double
        get() {
            val letThrough = kinds.sumOf { it.arrivals - it.yielded }
            if (letThrough <= 0.0) return 0.0
            return (kinds.sumOf { it.refused + it.rejected + it.cut } / letThrough).coerceIn(0.0, 1.0)
        }
}

/** Adds up loads by service and kind. */
internal fun sumLoads(loads: List<ServiceLoad>): List<ServiceLoad> =
    loads.groupBy { it.service }.map { (service, parts) ->
        val kinds = parts.flatMap { it.kinds }.groupBy { it.route to it.rank }
        ServiceLoad(service, kinds.values.map { it.reduce(KindLoad::plus) })
    }

/**
 * The admission level of [service], decided by the leader for all entry VMs.
 *
 * @property openness the share of the offered work that the service takes, which a new leader starts from.
 * @property shares the share of the requests that the service takes, by route; kinds that are missing are taken in full.
 * @property ageMilliseconds the age of the level.
 */
@Serializable
public data class ServiceLevel(
    val service: String,
    val openness: Double,
    val shares: Map<String, Double>,
    val ageMilliseconds: Long,
)
