package dev.goldcrestquay.machine

import dev.goldcrestquay.contract.RouteIndex
import dev.goldcrestquay.contract.RoutePlan
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.move.RolloutOutcome
import dev.goldcrestquay.move.RolloutPhase
import dev.goldcrestquay.move.RolloutState
import dev.goldcrestquay.move.RolloutVerdict
import kotlinx.coroutines.CompletableDeferred
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The records of the platform's store that one entry VM holds, merged from its own reads and from peers.
 *
 * Of two records with the same key, the one with the higher [LogPosition] wins, whether read or received from a peer. The version of
 * the plan never decreases while the process runs, nor does a final verdict become open again. Confined to the entry VM's event
 * loop. The state of the project's own interface, built from the log, is `EnvironmentState`.
 *
 * A store that was restored from an older copy lacks records until operators and targets have written them again. For a grace of
 * [REWRITE_GRACE] after its return, what is held is therefore not given up for what the copy has, or lacks.
 */
public class SharedState(
    private val clock: Clock,
) {
    /** A record with the [sequence] and time of its last change. */
    private class HeldRecord(
        var record: SharedRecord,
        var sequence: Long,
        var changedAt: Duration,
    )

    private val held = LinkedHashMap<Pair<Feed, String>, HeldRecord>()
    private val completeThrough = HashMap<Feed, Long>()

    /** By feed, the offset from which on no change, and no removal, of the present epoch has been missed. */
    private val completeFrom = HashMap<Feed, Long>()

    /** Records that take effect after the rewrite grace unless a later one of the same key arrives first. */
    private val deferred = LinkedHashMap<Pair<Feed, String>, SharedRecord>()
    private var rewriteGraceUntil = Duration.ZERO

    /** Whether the store has not been read since the rewrite grace; while it is away, nobody can write again. */
    private val isRewriteGrace: Boolean get() = (confirmedAt ?: Duration.ZERO) < rewriteGraceUntil
    private var acceptsStaleLoad = false
    private val rolledBackVersions = HashSet<Pair<String, String>>()
    private val versionFirstSeen = HashMap<Pair<String, String>, Duration>()
    private var loadedAt: Duration? = null

    /** The latest epoch of the store that is known; see [LogPosition]. */
    public var epoch: Long = 0
        private set

    /** Increases with every change of a record. */
    public var sequence: Long = 0
        private set

    /** The routes in force, or null before the first plan. */
    public var routes: RouteIndex? = null
        private set

    /** The latest time at which the records held were known to match the store, or null before the first read. */
    public var confirmedAt: Duration? = null
        private set

    private var decidedRollouts = mapOf<String, RolloutState>()
    private var cachedOrders: Map<String, RolloutRecord>? = null
    private var cachedRollouts: Map<String, RolloutState>? = null

    private val loaded = CompletableDeferred<Unit>()

    /** Whether a plan is held and the records have been confirmed once. */
    public val isLoaded: Boolean get() = loaded.isCompleted

    /** Waits until [isLoaded]. */
    public suspend fun awaitLoad(): Unit = loaded.await()

    /** The staleness of the records: the time since [confirmedAt], infinite before the first read. */
    public fun age(): Duration = confirmedAt?.let { clock() - it } ?: Duration.INFINITE

    /** Notes that the records held matched the store at [time]. */
    public fun confirm(time: Duration) {
        if (time > (confirmedAt ?: -Duration.INFINITE)) confirmedAt = time
        applyDeferred()
        completeLoad()
    }

    /** Lets the records held count as loaded whatever their age, for a start while nobody has fresh ones. */
    public fun acceptStaleLoad() {
        acceptsStaleLoad = true
        completeLoad()
    }

    /**
     * Stale records could bring back what has been withdrawn before this process started, and without the verdicts a version that was
     * rolled back would be on trial again, so neither count as loaded at first.
     */
    private fun completeLoad() {
        if (loadedAt != null || routes == null || confirmedAt == null) return
        if (!acceptsStaleLoad && (age() >= FRESH_AGE || Feed.VERDICTS !in completeThrough)) return
        loadedAt = clock()
        loaded.complete(Unit)
    }

    /** By feed, the offset up to which all records of the present [epoch] are known here; without feeds not yet read in this epoch. */
    public fun completeThrough(): Map<Feed, Long> = completeThrough.toMap()

    /** Notes that all records of [feed] before the offset [end] of the present [epoch] were applied. */
    public fun markComplete(
        feed: Feed,
        end: Long,
    ) {
        completeThrough.merge(feed, end, ::maxOf)
        completeFrom.putIfAbsent(feed, end)
    }

    /** Notes that the newest records of [feed] before the offset [end] were loaded; those that were removed before are not known. */
    public fun markLoaded(
        feed: Feed,
        end: Long,
    ) {
        markComplete(feed, end)
        completeFrom.merge(feed, end, ::maxOf)
    }

    /** By feed, the offset from which on no change, and no removal, of the present [epoch] has been missed. */
    public fun completeFrom(): Map<Feed, Long> = completeFrom.toMap()

    /** Notes that records were taken from a peer with the given [completeFrom], which may have missed removals before that. */
    public fun adoptGaps(completeFrom: Map<Feed, Long>) {
        completeFrom.forEach { (feed, from) -> this.completeFrom.merge(feed, from, ::maxOf) }
    }

    /** Notes that the store has been seen in [newEpoch]; what is held of an earlier epoch may have to be written again. */
    public fun enterEpoch(newEpoch: Long) {
        if (newEpoch <= epoch) return
        epoch = newEpoch
        completeThrough.clear()
        completeFrom.clear()
        if (held.isNotEmpty()) awaitRewrites()
    }

    /** Defers removals of targets from now on for [REWRITE_GRACE], in which running targets register again after the store's outage. */
    public fun awaitRewrites() {
        rewriteGraceUntil = clock() + REWRITE_GRACE
    }

    /** The shortest time until [record] takes effect if it was deferred, or null. */
    public fun deferralOf(record: SharedRecord): Duration? =
        (rewriteGraceUntil - clock()).takeIf { deferred[record.feed to record.key] === record }?.coerceAtLeast(Duration.ZERO)

    private fun applyDeferred() {
        if (deferred.isEmpty() || isRewriteGrace) return
        val records = deferred.values.toList()
        deferred.clear()
        records.forEach { apply(it) }
    }

    /** Applies [record] if it is newer than the one held; returns false too if it only repeats it, or if it is deferred. */
    public fun apply(record: SharedRecord): Boolean {
        enterEpoch(record.epoch)
        val id = record.feed to record.key
        val known = held[id]
        if (!supersedes(record, known?.record)) return false
        if (known != null && isDeferred(record, known.record)) {
            deferred[id] = record
            return false
        }
        deferred.remove(id)
        return replace(id, known, if (record is TargetRecord) withRemovedTarget(record, known?.record as? TargetRecord) else record)
    }

    /** Holds [record] instead of [known]; returns false if it only repeats it. */
    private fun replace(
        id: Pair<Feed, String>,
        known: HeldRecord?,
        record: SharedRecord,
    ): Boolean {
        // An order that is written again is the same order, and goes on.
        if (known != null && known.record.at(record.position) == record) return repeat(known, record)
        val knownTarget = (known?.record as? TargetRecord)?.target
        val target = (record as? TargetRecord)?.target
        if (knownTarget != null && target != null) {
            if (target.isOlderThan(knownTarget)) return false
            if (target.equalsExceptHeartbeat(knownTarget)) return repeat(known, record)
        }
        // A heartbeat that was delayed until after the removal is no new registration.
        val removedTarget = (known?.record as? TargetRecord)?.removedTarget
        if (removedTarget != null && target != null && !removedTarget.isOlderThan(target)) return false
        sequence++
        if (record !is TargetRecord) invalidateCaches()
        if (known == null) {
            held[id] = HeldRecord(record, sequence, clock())
        } else {
            known.record = record.at(maxOf(record.position, known.record.position))
            known.sequence = sequence
            known.changedAt = clock()
        }
        if (record is PlanRecord) routes = RouteIndex(record.plan)
        if (record is VerdictRecord && record.verdict?.outcome == RolloutOutcome.ROLLED_BACK) {
            rolledBackVersions += record.service to record.verdict.targetVersion
        }
        if (target != null) versionFirstSeen.getOrPut(target.service to target.version) { clock() }
        return true
    }

    /**
     * Holds [record] instead of [known], which says the same; returns false.
     *
     * Peers need it only if its epoch is later: they may hold what the restored copy has.
     */
    private fun repeat(
        known: HeldRecord,
        record: SharedRecord,
    ): Boolean {
        if (record.epoch > known.record.epoch) known.sequence = ++sequence
        known.record = record.at(maxOf(record.position, known.record.position))
        return false
    }

    /** Adds the last heartbeat that is [known] to the removal of a target. */
    private fun withRemovedTarget(
        record: TargetRecord,
        known: TargetRecord?,
    ): TargetRecord {
        if (record.target != null) return record
        val lastHeartbeats = listOfNotNull(record.removedTarget, known?.target, known?.removedTarget)
        return record.copy(removedTarget = lastHeartbeats.reduceOrNull { last, other -> if (last.isOlderThan(other)) other else last })
    }

    /** Whether [record] is to replace the one held of its key. */
    private fun supersedes(
        record: SharedRecord,
        known: SharedRecord?,
    ): Boolean {
        if (record is PlanRecord) return supersedes(record.plan, routes?.plan)
        // Unknown here although all records up to a later position are known: a peer with an outdated copy still holds what was removed.
        if (known == null) return completeThrough[record.feed]?.let { record.position >= LogPosition(epoch, it) } ?: true
        if (record is TargetRecord && known is TargetRecord && record.epoch < known.epoch) return isLaterHeartbeat(record, known)
        if (record.position <= known.position) return false
        return known !is VerdictRecord || record !is VerdictRecord || !isReversal(record, known)
    }

    /** A peer of a release that knows no organisations passes the same plan on without them. */
    private fun supersedes(
        plan: RoutePlan,
        known: RoutePlan?,
    ): Boolean = known == null || plan.version > known.version || isFuller(plan, known)

    private fun isFuller(
        plan: RoutePlan,
        known: RoutePlan,
    ): Boolean = plan.version == known.version && plan.organisations.isNotEmpty() && known.organisations.isEmpty()

    /** Whether [record], of an earlier epoch than [known], is of a later heartbeat, or of the removal after the last one. */
    private fun isLaterHeartbeat(
        record: TargetRecord,
        known: TargetRecord,
    ): Boolean {
        val last = record.target ?: record.removedTarget ?: return false
        val knownLast = known.target ?: known.removedTarget ?: return false
        return if (record.target == null) known.target != null && !last.isOlderThan(knownLast) else knownLast.isOlderThan(last)
    }

    /** Whether [record] would take back the verdict of [known]: opens it again, or is what an older copy of the store has. */
    private fun isReversal(
        record: VerdictRecord,
        known: VerdictRecord,
    ): Boolean {
        val isReopened = record.verdict?.targetVersion == known.verdict?.targetVersion && record.verdict?.isFinal == false
        val isOlder = isUncertain(record, known) && record.offset < known.offset
        return (isReopened && known.verdict?.isFinal == true) || (isOlder && known.at(record.position) != record)
    }

    private fun isDeferred(
        record: SharedRecord,
        known: SharedRecord,
    ): Boolean {
        if (!isRewriteGrace) return false
        return when (record) {
            is TargetRecord -> record.target == null && isReady(record.key)
            is RolloutRecord, is EvacuationRecord -> isUncertain(record, known) && known.at(record.position) != record
            is PlanRecord, is VerdictRecord -> false
        }
    }

    /** Whether [record], of a later epoch than [known], may have been written before it, since the restored copy may have had it. */
    private fun isUncertain(
        record: SharedRecord,
        known: SharedRecord,
    ): Boolean = record.epoch > known.epoch && record.position < LogPosition(epoch, completeThrough[record.feed] ?: Long.MAX_VALUE)

    /** Whether the record held for the key of [record] is a later one. */
    public fun holdsLaterThan(record: SharedRecord): Boolean =
        held[record.feed to record.key]?.let { it.record.position > record.position } ?: false

    /** Removal records for the held keys of [feed] that are not [present], the keys that the feed had at the offset [end]. */
    public fun removals(
        feed: Feed,
        present: Set<String>,
        end: Long,
    ): List<SharedRecord> =
        held.values
            .map { it.record }
            .filter { it.feed == feed && it.position < LogPosition(epoch, end) && it.key !in present }
            .mapNotNull { it.removedAt(LogPosition(epoch, end - 1)) }

    /** Whether the target called [id] is registered and takes requests. */
    public fun isReady(id: String): Boolean = (held[Feed.TARGETS to id]?.record as? TargetRecord)?.target?.phase == TargetPhase.READY

    private fun SharedRecord.removedAt(position: LogPosition): SharedRecord? =
        when (this) {
            is TargetRecord -> copy(target = null).at(position).takeIf { target != null }
            is EvacuationRecord -> copy(evacuated = false).at(position).takeIf { evacuated }
            is RolloutRecord -> copy(order = null).at(position).takeIf { order != null }
            is PlanRecord, is VerdictRecord -> null
        }

    /**
     * The records that someone lacks who knows all records of [knownEpoch] up to the offsets [known], oldest change first; null when a
     * removal may be among them that is not known here.
     *
     * Records that changed here lately are among them too, since a deferred one takes effect after later ones.
     */
    public fun changesBeyond(
        knownEpoch: Long,
        known: Map<Feed, Long>,
    ): List<SharedRecord>? {
        if (knownEpoch != epoch || Feed.entries.any { feed -> (known[feed] ?: -1) < (completeFrom[feed] ?: Long.MAX_VALUE) }) return null
        val now = clock()
        return held.values
            .filter { it.record.position >= LogPosition(epoch, known.getValue(it.record.feed)) || now - it.changedAt < LATELY }
            .sortedBy { it.sequence }
            .map { it.recordAt(now) }
    }

    /** The records that changed after [sequence], oldest change first; the rest of a warm-up is reduced by the time since the change. */
    public fun changesAfter(sequence: Long): List<SharedRecord> =
        held.values
            .filter { it.sequence > sequence }
            .sortedBy { it.sequence }
            .map { it.recordAt(clock()) }

    private fun HeldRecord.recordAt(now: Duration): SharedRecord {
        val targetRecord = record as? TargetRecord ?: return record
        val target = targetRecord.target ?: return record
        return targetRecord.copy(target = target.copy(warmUpLeft = (target.warmUpLeft - (now - changedAt)).coerceAtLeast(Duration.ZERO)))
    }

    /** The registered targets. */
    public fun targets(): List<KnownTarget> =
        held.values.mapNotNull { entry ->
            (entry.record as? TargetRecord)?.target?.let { KnownTarget(it, entry.changedAt) }
        }

    /** The data centres whose targets get no requests. */
    public fun evacuatedDataCentres(): Set<String> =
        held.values
            .mapNotNull { it.record as? EvacuationRecord }
            .filter { it.evacuated }
            .mapTo(HashSet()) { it.dataCentre }

    /** The current rollout orders, by service. */
    public fun orders(): Map<String, RolloutRecord> =
        cachedOrders ?: held.values
            .mapNotNull { it.record as? RolloutRecord }
            .filter { it.order != null }
            .associateBy { it.service }
            .also { cachedOrders = it }

    /** How long this entry VM has held the current rollout order of [service]; zero when there is none. */
    public fun orderAge(service: String): Duration =
        held.values
            .firstOrNull { (it.record as? RolloutRecord)?.service == service }
            ?.let { clock() - it.changedAt } ?: Duration.ZERO

    /** The verdict that the store holds about the rollout of [service] to [version], or null. */
    public fun verdict(
        service: String,
        version: String,
    ): RolloutVerdict? =
        held.values
            .firstNotNullOfOrNull { entry -> (entry.record as? VerdictRecord)?.takeIf { it.service == service } }
            ?.verdict
            ?.takeIf { it.targetVersion == version }

    /** The verdicts held that the store has lost: those that its present epoch does not have, once its verdicts were read. */
    public fun lostVerdicts(): List<VerdictRecord> {
        if (Feed.VERDICTS !in completeThrough) return emptyList()
        return held.values.mapNotNull { it.record as? VerdictRecord }.filter { it.epoch < epoch && it.verdict != null }
    }

    /** Whether [version] of [service] was rolled back, so that it gets no requests after its order was withdrawn or replaced. */
    public fun isRolledBack(
        service: String,
        version: String,
    ): Boolean = service to version in rolledBackVersions

    /** Adopts the rollout phases and shares that the leader decided; a final verdict in the store takes precedence over them. */
    public fun setRollouts(states: List<RolloutState>) {
        decidedRollouts = states.associateBy { it.order.service }
        cachedRollouts = null
    }

    /** The state of each rollout, by service; cached, since every request asks for them. */
    public fun rollouts(): Map<String, RolloutState> = cachedRollouts ?: orders().mapValues(::stateOf).also { cachedRollouts = it }

    private fun stateOf(entry: Map.Entry<String, RolloutRecord>): RolloutState {
        val (service, record) = entry
        val order = checkNotNull(record.order)
        val decided = decidedRollouts[service]?.takeIf { it.order == order }
        return when (verdict(service, order.targetVersion)?.outcome) {
            RolloutOutcome.COMPLETED -> RolloutState(order, RolloutPhase.COMPLETED)
            RolloutOutcome.ROLLED_BACK -> RolloutState(order, RolloutPhase.ROLLED_BACK)
            else -> decided ?: RolloutState(order, RolloutPhase.TRIAL)
        }
    }

    private fun invalidateCaches() {
        cachedOrders = null
        cachedRollouts = null
    }

    /** When this process first saw [version] of [service]; null when never, or when the first load already had it. */
    public fun appearedAt(
        service: String,
        version: String,
    ): Duration? {
        val seen = versionFirstSeen[service to version] ?: return null
        val loaded = loadedAt ?: return null
        return seen.takeIf { it > loaded }
    }

    internal companion object {
        /** Records younger than this are fresh; a leader's own records are at most as old as one poll and one call. */
        val FRESH_AGE = 1700.milliseconds

        /** Running targets register again within two seconds after an outage of the store; the rest is the time to read their records. */
        val REWRITE_GRACE = 2200.milliseconds

        /** A deferred record has taken effect, and was passed on over peers, within this time. */
        val LATELY = REWRITE_GRACE * 2
    }
}

/** A registered target and when this entry VM last received a change of it. */
public data class KnownTarget(
    val target: RegisteredTarget,
    val changedAt: Duration,
)
