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

/**
 * A target that may get a request.
 *
 * @property health the target's health according to this entry VM's requests.
 * @property isLocal whether the target is in this entry VM's data centre.
 * @property isCold whether the target is still warming up.
 */
public class TargetCandidate internal constructor(
    public val target: RegisteredTarget,
    public val health: TargetHealth,
    public val isLocal: Boolean,
    public val isCold: Boolean,
    private val notices: TargetNotices,
) {
    /** Whether the target may get a request now, according to what it says of itself. */
    public val allowance: TargetAllowance get() = notices.allowance(target.id)
}

/**
 * The registered targets that may get a request on the platform, according to the store's records, the rollouts, this entry VM's own
 * requests and what the targets say of themselves.
 *
 * Rebuilt when the shared state changes. Not thread-safe: confined to the entry VM's event loop.
 */
public class TargetTable(
    private val state: SharedState,
    private val dataCentre: String,
    private val clock: Clock,
    private val random: Random,
    private val coldTargetLimiter: ColdTargetLimiter,
    private val requestLimitShares: RequestLimitShares,
    private val notices: TargetNotices = TargetNotices(clock),
) {
    private val healthByTarget = HashMap<String, TargetHealth>()
    private var builtSequence = -1L
    private var rebuiltAt = -Duration.INFINITE
    private var byService = mapOf<String, List<KnownTarget>>()

    /** The health of [target] according to this entry VM's requests. */
    public fun health(target: RegisteredTarget): TargetHealth = healthByTarget.getOrPut(target.id) { TargetHealth(clock) }

    /**
     * All targets of [service] that may get a request now, except those whose identifiers are in [excluded].
     *
     * Targets that have just said that they leave are among them only when there are no others.
     */
    public fun candidates(
        service: String,
        excluded: Set<String>,
    ): List<TargetCandidate> {
        rebuildIfStale()
        val known = byService[service].orEmpty()
        val versions = versionFilter(service, known)
        val requestsPerSecond = state.routes?.service(service)?.coldRequestsPerSecond ?: 0.0
        val allowed =
            known
                .filter { versions(it.target.version) && it.target.id !in excluded }
                .map { candidate(it) }
                .filter { it.allowance != TargetAllowance.CLOSED }
                .filter { !it.isCold || coldTargetLimiter.allows(it.target.id, requestsPerSecond) }
                .filter { isWithinRequestLimit(it) }
        return allowed.filter { it.allowance == TargetAllowance.OPEN }.ifEmpty { allowed }
    }

    /** How long all targets of [service] that do not leave want no requests from this entry VM, or null if some may get one. */
    public fun silenceLeft(service: String): Duration? {
        rebuildIfStale()
        val known = byService[service].orEmpty()
        val versions = versionFilter(service, known)
        val staying = known.map { it.target }.filter { versions(it.version) && !notices.isLeaving(it.id) }
        val left = staying.minOfOrNull { notices.silenceLeft(it.id) }
        return left?.takeIf { it > Duration.ZERO }
    }

    /** Whether [target] wants no requests from this entry VM at present. */
    public fun isSilent(target: RegisteredTarget): Boolean = notices.silenceLeft(target.id) > Duration.ZERO

    /** Whether [target] is still registered to take requests, in a data centre that gets any, and still takes them by its own word. */
    public fun mayGetRequests(target: RegisteredTarget): Boolean {
        rebuildIfStale()
        if (notices.allowance(target.id) == TargetAllowance.CLOSED) return false
        return byService[target.service].orEmpty().any { it.target.id == target.id }
    }

    private fun isWithinRequestLimit(candidate: TargetCandidate): Boolean {
        val limit = candidate.health.requestLimit ?: return true
        return candidate.health.isSpacedBy(requestLimitShares.interval(candidate.target.id, limit))
    }

    /** Records a request sent to [candidate], which counts against the rate limit if the target is cold. */
    public fun recordSend(candidate: TargetCandidate) {
        val requestsPerSecond = state.routes?.service(candidate.target.service)?.coldRequestsPerSecond ?: 0.0
        if (candidate.isCold) coldTargetLimiter.recordSend(candidate.target.id, requestsPerSecond)
    }

    private fun candidate(known: KnownTarget): TargetCandidate {
        val now = clock()
        val health = health(known.target)
        val isCold = now < known.changedAt + known.target.warmUpLeft || health.isColdAt(now)
        return TargetCandidate(known.target, health, known.target.dataCentre == dataCentre, isCold, notices)
    }

    /**
     * Returns which versions a request may go to; during a rollout's trial, the new one with the probability of its share.
     *
     * A version that appears without a rollout order gets no requests for [MISSING_ORDER_DELAY], since an order may be on its way.
     */
    private fun versionFilter(
        service: String,
        known: List<KnownTarget>,
    ): (String) -> Boolean {
        val rollout = state.rollouts()[service]
        val toVersion = rollout?.order?.targetVersion
        val old = known.filter { it.target.version != toVersion }.filter { mayGetRequests(service, it.target.version) }
        return when {
            rollout == null || toVersion == null -> { version -> mayGetRequests(service, version) }
            rollout.phase == RolloutPhase.COMPLETED || rollout.phase == RolloutPhase.SHIFTED -> { version -> version == toVersion }
            random.nextDouble() < rollout.share && known.any { it.target.version == toVersion } -> { version -> version == toVersion }
            old.isEmpty() && rollout.phase == RolloutPhase.TRIAL -> { version -> version == toVersion }
            else -> { version -> version != toVersion && mayGetRequests(service, version) }
        }
    }

    /** Returns whether [version] may get requests without a rollout order: it was not rolled back and has been known for long enough. */
    private fun mayGetRequests(
        service: String,
        version: String,
    ): Boolean {
        if (state.isRolledBack(service, version)) return false
        val appeared = state.appearedAt(service, version) ?: return true
        return clock() > appeared + MISSING_ORDER_DELAY
    }

    private fun rebuildIfStale() {
        val now = clock()
        if (builtSequence == state.sequence && now - rebuiltAt < REBUILD_INTERVAL) return
        builtSequence = state.sequence
        rebuiltAt = now
        val evacuated = state.evacuatedDataCentres()
        val targets = state.targets()
        byService =
            targets
                .filter { it.target.phase == TargetPhase.READY && it.target.dataCentre !in evacuated }
                .groupBy { it.target.service }
        val registered = targets.mapTo(HashSet()) { it.target.id }
        healthByTarget.keys.retainAll(registered)
        notices.retain(registered)
    }

    private companion object {
        /** The longest delay until expired records take effect, since records can expire without a change of the shared state. */
        val REBUILD_INTERVAL = 1.seconds / 4

        /** How long a version without a rollout order gets no requests: longer than an order takes to arrive. */
        val MISSING_ORDER_DELAY = 3.seconds
    }
}
