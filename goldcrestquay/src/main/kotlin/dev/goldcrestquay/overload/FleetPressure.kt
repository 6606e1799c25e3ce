package dev.goldcrestquay.overload

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.machine.FleetEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Joins the loads that entry VMs see and holds the admission level of each service; confined to the event loop.
 *
 * Each entry VM reports the sum of its own load and what was reported to it, so that the leader knows the whole. The leader decides the
 * level and the replies carry it to all. A level older than [FRESH_LEVEL] loses weight until, at [LEVEL_LIFETIME], an entry VM goes by its own
 * view only, as one that has just started does. A new leader goes on from the level that it holds.
 */
public class FleetPressure(
    private val clock: Clock,
    private val report: (FleetEvent) -> Unit = {},
) {
    private class Reported(
        val loads: List<ServiceLoad>,
        val at: Duration,
    )

    private class Adopted(
        val openness: Double,
        val shares: Map<String, Double>,
        val decidedAt: Duration,
    )

    internal val counter = LoadCounter(clock)
    private val reported = HashMap<String, Reported>()
    private val ownLevels = HashMap<String, AdmissionLevel>()
    private val fleetLevels = HashMap<String, AdmissionLevel>()
    private val adopted = HashMap<String, Adopted>()
    private var decidedAt = -Duration.INFINITE

    /** The load of this entry VM and of all that report to it. */
    public fun loads(): List<ServiceLoad> {
        reported.values.removeIf { clock() - it.at > REPORT_LIFETIME }
        return sumLoads(counter.loads() + reported.values.flatMap { it.loads }).map { it.rounded() }
    }

    /** Adopts what [process] reports, in place of its earlier report. */
    public fun merge(
        process: String,
        loads: List<ServiceLoad>,
    ) {
        if (loads.isEmpty()) reported -= process else reported[process] = Reported(loads, clock())
    }

    /** The levels to send to peers: this entry VM's decision when it [isLeader], or else what it has adopted. */
    public fun levels(isLeader: Boolean): List<ServiceLevel> {
        if (isLeader) decide()
        adopted.values.removeIf { clock() - it.decidedAt > LEVEL_LIFETIME }
        return adopted.map { (service, level) ->
            ServiceLevel(service, level.openness, level.shares, (clock() - level.decidedAt).inWholeMilliseconds)
        }
    }

    /** Adopts the [levels] of a peer as far as they are newer than those held. */
    public fun adopt(levels: List<ServiceLevel>) {
        levels.forEach { level ->
            val decidedAt = clock() - level.ageMilliseconds.coerceAtLeast(0).milliseconds
            if ((adopted[level.service]?.decidedAt ?: -Duration.INFINITE) < decidedAt) {
                val shares = level.shares.mapValues { (_, share) -> share.coerceIn(0.0, 1.0) }
                adopted[level.service] = Adopted(level.openness.coerceIn(0.0, 1.0), shares, decidedAt)
            }
        }
    }

    /** The share of the requests on [route] that [service] takes. */
    internal fun share(
        service: String,
        route: String,
    ): Double {
        val level = ownLevels.getOrPut(service) { AdmissionLevel(clock) }
        level.update(counter.load(service))
        val own = level.shares[route] ?: 1.0
        val fleet = adopted[service] ?: return own
        val age = clock() - fleet.decidedAt
        val weight = ((LEVEL_LIFETIME - age) / (LEVEL_LIFETIME - FRESH_LEVEL)).coerceIn(0.0, 1.0)
        return (fleet.shares[route] ?: 1.0) * weight + own * (1.0 - weight)
    }

    private fun decide() {
        if (clock() - decidedAt < AdmissionLevel.STEP_INTERVAL) return
        decidedAt = clock()
        val loads = loads()
        fleetLevels.keys.retainAll(loads.mapTo(HashSet()) { it.service })
        loads.forEach { load ->
            val last = adopted[load.service]
            val level = fleetLevels.getOrPut(load.service) { AdmissionLevel(clock, last?.openness ?: 1.0, last?.shares.orEmpty()) }
            level.update(load)
            adopted[load.service] = Adopted(level.openness, level.shares, clock())
            if (level.openness != last?.openness ?: 1.0) {
                report(FleetEvent.AdmissionLevelChanged(load.service, level.openness, load.pressure, load.arrivals, level.shares))
            }
        }
    }

    internal companion object {
        /** The age from which a report no longer counts; a peer reports about twice a second. */
        val REPORT_LIFETIME: Duration = 2.seconds
        val FRESH_LEVEL: Duration = 1500.milliseconds
        val LEVEL_LIFETIME: Duration = 4.seconds
    }
}
