package dev.goldcrestquay.overload

import dev.goldcrestquay.link.Clock
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Counts what the requests of this entry VM ask of services. */
internal class LoadCounter(
    private val clock: Clock,
) {
    private var loads = HashMap<String, HashMap<String, KindLoad>>()
    private var decayedAt = Duration.ZERO

    fun recordArrival(request: RoomRequest) {
        val work = request.work.toDouble(DurationUnit.MILLISECONDS)
        change(request) { it.copy(arrivals = it.arrivals + 1, workMilliseconds = it.workMilliseconds + work) }
    }

    fun recordYielded(request: RoomRequest) = change(request) { it.copy(yielded = it.yielded + 1) }

    fun recordRefused(request: RoomRequest) = change(request) { it.copy(refused = it.refused + 1) }

    fun recordRejected(request: RoomRequest) = change(request) { it.copy(rejected = it.rejected + 1) }

    fun recordCut(request: RoomRequest) = change(request) { it.copy(cut = it.cut + 1) }

    fun loads(): List<ServiceLoad> {
        decay()
        return loads.map { (service, kinds) -> ServiceLoad(service, kinds.values.toList()) }
    }

    fun load(service: String): ServiceLoad {
        decay()
        return ServiceLoad(service, loads[service]?.values?.toList().orEmpty())
    }

    private fun change(
        request: RoomRequest,
        change: (KindLoad) -> KindLoad,
    ) {
        decay()
        val kinds = loads.getOrPut(request.service) { HashMap() }
        val known = kinds[request.route] ?: KindLoad(request.route, 0, false, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
        kinds[request.route] = change(known.copy(priority = request.rank.priority, isSpill = request.rank.isSpill))
    }

    private fun decay() {
        val elapsed = clock() - decayedAt
        if (elapsed < DECAY_INTERVAL) return
        decayedAt = clock()
        val factor = exp(-(elapsed / WINDOW))
        loads.values.forEach { kinds ->
            kinds.replaceAll { _, load -> load * factor }
            kinds.values.removeIf { it.arrivals < NEGLIGIBLE }
        }
        loads.values.removeIf { it.isEmpty() }
    }

    private operator fun KindLoad.times(factor: Double) =
        copy(
            arrivals = arrivals * factor,
            workMilliseconds = workMilliseconds * factor,
            yielded = yielded * factor,
            refused = refused * factor,
            rejected = rejected * factor,
            cut = cut * factor,
        )

    companion object {
        /** The time constant with which counts decay: bursts last for seconds. */
        val WINDOW: Duration = 1.seconds

        private val DECAY_INTERVAL = WINDOW / 50

        /** The number of arrivals below which a kind is forgotten. */
        private const val NEGLIGIBLE = 0.01
    }
}
