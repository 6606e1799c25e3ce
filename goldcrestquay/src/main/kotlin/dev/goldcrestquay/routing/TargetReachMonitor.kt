package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.PlannedService
import dev.goldcrestquay.machine.FleetEvent
import dev.goldcrestquay.machine.FleetMembers
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.machine.SharedState
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tells the peers whether this entry VM reaches targets, and probes some while it does not, since its requests go to peers then. */
public class TargetReachMonitor<Connection>(
    private val reach: TargetReach,
    private val state: SharedState,
    private val members: FleetMembers,
    private val random: Random,
    private val probe: suspend (RegisteredTarget, PlannedService) -> ProbeResult<Connection>?,
    private val release: (Connection) -> Unit,
    private val notices: TargetNotices,
    private val report: (FleetEvent) -> Unit,
) {
    /** Watches until cancelled; an unexpected error of a probe ends that probe alone. */
    public suspend fun run(): Unit =
        supervisorScope {
            while (true) {
                delay(INTERVAL)
                if (members.self.reachesTargets == reach.isCutOff) {
                    members.reportReach(!reach.isCutOff)
                    report(FleetEvent.ReachChanged(!reach.isCutOff))
                }
                if (reach.isCutOff) {
                    probedTargets().forEach { (target, service) ->
                        launch { probe(target, service)?.let { release(it.connection) } }
                    }
                }
            }
        }

    private fun probedTargets(): List<Pair<RegisteredTarget, PlannedService>> =
        state
            .targets()
            .filter { notices.silenceLeft(it.target.id) == Duration.ZERO }
            .shuffled(random)
            .take(PROBES)
            .mapNotNull { known -> state.routes?.service(known.target.service)?.let { known.target to it } }

    private companion object {
        /** Peers learn of a change with the next heartbeat, half a second later at most. */
        val INTERVAL = 250.milliseconds

        /** The probes in each interval; half of those of a second must be answered before this entry VM sends requests itself. */
        const val PROBES = 4
    }
}
