package dev.goldcrestquay.machine

import dev.goldcrestquay.contract.RouteIndex
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.move.RolloutOutcome
import dev.goldcrestquay.move.RolloutPhase
import dev.goldcrestquay.move.RolloutState
import dev.goldcrestquay.move.RolloutVerdict
import kotlinx.coroutines.CompletableDeferred
import kotlin.time.Duration

/**
 * The facts of the platform's store that one entry VM holds, merged from its own reads and from peers.
 *
 * The newest offset of a key wins, whichever way it came, and the plan's version never goes down while the process lives.
 * Confined to the entry VM's event loop.
 */
public class SharedState(
    private val clock: Clock,
) {
    private class Held(
        var record: SharedRecord,
        var sequence: Long,
        var changedAt: Duration,
    )

    private val held = LinkedHashMap<Pair<Feed, String>, Held>()
    private val versionFirstSeen = HashMap<Pair<String, String>, Duration>()
    private var loadedAt: Duration? = null

    /** Increases with every change. */
    public var sequence: Long = 0
        private set

    /** The routes in force, or null before the first plan. */
    public var routes: RouteIndex? = null
        private set

    /** The clock's time at which the facts were last known to be the store's, or null before the first. */
    public var confirmedAt: Duration? = null
        private set

    private var steps = mapOf<String, RolloutState>()
    private var ordersView: Map<String, RolloutRecord>? = null
    private var rolloutsView: Map<String, RolloutState>? = null

    private val loaded = CompletableDeferred<Unit>()

    /** Whether the facts of every feed have been read once. */
    public val isLoaded: Boolean get() = loaded.isCompleted

    /** Waits until [isLoaded]. */
    public suspend fun awaitLoad(): Unit = loaded.await()

    /** How old the facts may be. */
    public fun age(): Duration = confirmedAt?.let { clock() - it } ?: Duration.INFINITE

    /** Notes that the facts were the store's at [time]. */
    public fun confirm(time: Duration) {
        if (time > (confirmedAt ?: -Duration.INFINITE)) confirmedAt = time
        if (loadedAt == null && routes != null) {
            loadedAt = clock()
            loaded.complete(Unit)
        }
    }

    /** Takes over [record] when it is news; returns whether anything changed. */
    public fun apply(record: SharedRecord): Boolean {
        val id = record.feed to record.key
        val known = held[id]
        if (known != null && known.record.offset >= record.offset) return false
        if (record is PlanRecord && record.plan.version <= (routes?.plan?.version ?: -1)) return false
        val knownTarget = (known?.record as? TargetRecord)?.target
        val target = (record as? TargetRecord)?.target
        if (knownTarget != null && target != null) {
            if (target.isOlderThan(knownTarget)) return false
            if (target.sameNewsAs(knownTarget)) {
                known.record = record
                return false
            }
        }
        sequence++
        if (record !is TargetRecord) forgetViews()
        if (known == null) {
            held[id] = Held(record, sequence, clock())
        } else {
            known.record = record
            known.sequence = sequence
            known.changedAt = clock()
        }
        if (record is PlanRecord) routes = RouteIndex(record.plan)
        if (target != null) versionFirstSeen.getOrPut(target.service to target.version) { clock() }
        return true
    }

    /** The removals that follow from [feed] holding just the keys [present] at the offset [end]. */
    public fun removals(
        feed: Feed,
        present: Set<String>,
        end: Long,
    ): List<SharedRecord> =
        held.values
            .map { it.record }
            .filter { it.feed == feed && it.offset < end && it.key !in present }
            .mapNotNull { it.removedAt(end - 1) }

    /** Whether the target called [id] is registered and takes work. */
    public fun isReady(id: String): Boolean = (held[Feed.TARGETS to id]?.record as? TargetRecord)?.target?.phase == TargetPhase.READY

    private fun SharedRecord.removedAt(end: Long): SharedRecord? =
        when (this) {
            is TargetRecord -> copy(offset = end, target = null).takeIf { target != null }
            is EvacuationRecord -> copy(offset = end, evacuated = false).takeIf { evacuated }
            is RolloutRecord -> copy(offset = end, order = null).takeIf { order != null }
            is PlanRecord, is VerdictRecord -> null
        }

    /** The facts that changed after [sequence], oldest change first, as they stand now: what is left of a warm-up shrinks. */
    public fun changesAfter(sequence: Long): List<SharedRecord> =
        held.values
            .filter { it.sequence > sequence }
            .sortedBy { it.sequence }
            .map { it.recordAt(clock()) }

    private fun Held.recordAt(now: Duration): SharedRecord {
        val told = record as? TargetRecord ?: return record
        val target = told.target ?: return record
        return told.copy(target = target.copy(warmUpLeft = (target.warmUpLeft - (now - changedAt)).coerceAtLeast(Duration.ZERO)))
    }

    /** The targets that the store names. */
    public fun targets(): List<KnownTarget> =
        held.values.mapNotNull { entry ->
            (entry.record as? TargetRecord)?.target?.let { KnownTarget(it, entry.changedAt) }
        }

    /** The data centres that are to get no work. */
    public fun evacuatedDataCentres(): Set<String> =
        held.values
            .mapNotNull { it.record as? EvacuationRecord }
            .filter { it.evacuated }
            .mapTo(HashSet()) { it.dataCentre }

    /** The moves ordered now, by service. */
    public fun orders(): Map<String, RolloutRecord> =
        ordersView ?: held.values
            .mapNotNull { it.record as? RolloutRecord }
            .filter { it.order != null }
            .associateBy { it.service }
            .also { ordersView = it }

    /** What the store says of the move of [service] to [version], or null. */
    public fun verdict(
        service: String,
        version: String,
    ): RolloutVerdict? =
        held.values
            .firstNotNullOfOrNull { entry -> (entry.record as? VerdictRecord)?.takeIf { it.service == service } }
            ?.verdict
            ?.takeIf { it.targetVersion == version }

    /** Takes over the steps that the reader decided; a finished move stays finished. */
    public fun setRollouts(states: List<RolloutState>) {
        steps = states.associateBy { it.order.service }
        rolloutsView = null
    }

    /** How the moves stand, by service; asked for with every request. */
    public fun rollouts(): Map<String, RolloutState> = rolloutsView ?: orders().mapValues(::stateOf).also { rolloutsView = it }

    private fun stateOf(entry: Map.Entry<String, RolloutRecord>): RolloutState {
        val (service, record) = entry
        val order = checkNotNull(record.order)
        val decided = steps[service]?.takeIf { it.orderOffset == record.offset }?.phase
        val phase =
            when (verdict(service, order.targetVersion)?.outcome) {
                RolloutOutcome.COMPLETED -> RolloutPhase.COMPLETED
                RolloutOutcome.ROLLED_BACK -> RolloutPhase.ROLLED_BACK
                else -> decided ?: RolloutPhase.TRIAL
            }
        return RolloutState(order, record.offset, phase)
    }

    private fun forgetViews() {
        ordersView = null
        rolloutsView = null
    }

    /** When this process first saw [version] of [service]; null when it was there from the first load on. */
    public fun appearedAt(
        service: String,
        version: String,
    ): Duration? {
        val seen = versionFirstSeen[service to version] ?: return null
        val loaded = loadedAt ?: return null
        return seen.takeIf { it > loaded }
    }
}

/** A registered target and when this entry VM last heard news of it. */
public data class KnownTarget(
    val target: RegisteredTarget,
    val changedAt: Duration,
)
