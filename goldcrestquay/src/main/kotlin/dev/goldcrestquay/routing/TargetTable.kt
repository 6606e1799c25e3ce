package dev.goldcrestquay.routing

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.machine.KnownTarget
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.machine.TargetPhase
import dev.goldcrestquay.move.RolloutPhase
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A target with what this entry VM knows of it. */
public class TargetCandidate internal constructor(
    public val target: RegisteredTarget,
    public val health: TargetHealth,
    public val isLocal: Boolean,
    public val isCold: Boolean,
)

/**
 * The targets that may get a request, by what the store, the moves and this entry VM's own requests say.
 *
 * Rebuilt when the shared state changes; confined to the entry VM's event loop.
 */
public class TargetTable(
    private val state: SharedState,
    private val dataCentre: String,
    private val clock: Clock,
    private val random: Random,
    private val cold: ColdAllowance,
) {
    private val healths = HashMap<String, TargetHealth>()
    private var builtAt = -1L
    private var builtTime = -Duration.INFINITE
    private var byService = mapOf<String, List<KnownTarget>>()

    /** What this entry VM's requests say of [target]. */
    public fun health(target: RegisteredTarget): TargetHealth = healths.getOrPut(target.id) { TargetHealth(clock) }

    /** All targets of [service] that may get a request now, without those of [excluded] identifiers. */
    public fun candidates(
        service: String,
        excluded: Set<String>,
    ): List<TargetCandidate> {
        rebuild()
        val known = byService[service].orEmpty()
        val versions = versionFilter(service, known)
        val perSecond = state.routes?.service(service)?.coldRequestsPerSecond ?: 0.0
        return known
            .filter { versions(it.target.version) && it.target.id !in excluded }
            .map { candidate(it) }
            .filter { !it.isCold || cold.allows(it.target.id, perSecond) }
    }

    /** Counts a request sent to [candidate] against a cold target's allowance. */
    public fun sent(candidate: TargetCandidate) {
        val perSecond = state.routes?.service(candidate.target.service)?.coldRequestsPerSecond ?: 0.0
        if (candidate.isCold) cold.sent(candidate.target.id, perSecond)
    }

    private fun candidate(known: KnownTarget): TargetCandidate {
        val now = clock()
        val health = health(known.target)
        val isCold = now < known.changedAt + known.target.warmUpLeft || health.coldAt(now)
        return TargetCandidate(known.target, health, known.target.dataCentre == dataCentre, isCold)
    }

    /**
     * Which versions a request may go to: while a move is on trial, the new one with its share's probability.
     *
     * A version that appears with no order for it waits [UNORDERED_WAIT], since an order may be on its way.
     */
    private fun versionFilter(
        service: String,
        known: List<KnownTarget>,
    ): (String) -> Boolean {
        val rollout = state.rollouts()[service]
        val moving = rollout?.order?.targetVersion
        val old = known.filter { it.target.version != moving }.filter { isSettled(service, it.target.version) }
        return when {
            rollout == null || moving == null -> { version -> isSettled(service, version) }
            rollout.phase == RolloutPhase.COMPLETED || rollout.phase == RolloutPhase.SHIFTED -> { version -> version == moving }
            random.nextDouble() < rollout.phase.share && known.any { it.target.version == moving } -> { version -> version == moving }
            old.isEmpty() && rollout.phase == RolloutPhase.TRIAL -> { version -> version == moving }
            else -> { version -> version != moving && isSettled(service, version) }
        }
    }

    private fun isSettled(
        service: String,
        version: String,
    ): Boolean {
        val appeared = state.appearedAt(service, version) ?: return true
        return clock() > appeared + UNORDERED_WAIT
    }

    private fun rebuild() {
        val now = clock()
        if (builtAt == state.sequence && now - builtTime < REBUILD_INTERVAL) return
        builtAt = state.sequence
        builtTime = now
        val evacuated = state.evacuatedDataCentres()
        val targets = state.targets()
        byService =
            targets
                .filter { it.target.phase == TargetPhase.READY && it.target.dataCentre !in evacuated }
                .groupBy { it.target.service }
        healths.keys.retainAll(targets.mapTo(HashSet()) { it.target.id })
    }

    private companion object {
        /** Entries that lapsed run out between changes; this is how late that may be seen. */
        val REBUILD_INTERVAL = 1.seconds / 4

        /** Longer than an order takes to arrive. */
        val UNORDERED_WAIT = 3.seconds
    }
}
