package dev.goldcrestquay.move

import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.contract.LogRecord
import dev.goldcrestquay.contract.Move
import dev.goldcrestquay.contract.MoveAdvance
import dev.goldcrestquay.contract.MoveState
import dev.goldcrestquay.contract.Service
import dev.goldcrestquay.contract.Verdict
import dev.goldcrestquay.contract.VerdictKind
import dev.goldcrestquay.contract.parseInstant
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.WallClock
import dev.goldcrestquay.routing.VersionShare
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A move that an entry VM stopped before the log has a verdict.
 *
 * @property started the generation that added or last changed the move.
 * @property reason the explanation shown to the operator.
 */
public data class MoveStop(
    val move: String,
    val started: Long,
    val reason: String,
)

/**
 * Controls the moves of an environment on one entry VM; thread-safe. Rollouts on the platform have a [RolloutController].
 *
 * Rolling back needs no agreement: on the evidence of the fleet, an entry VM stops sending calls to the new version, notifies its
 * peers, and then records the verdict. Only the holder of the service's lease advances and finishes a move. The first verdict on
 * the log counts.
 */
public class MoveController(
    private val identity: String,
    private val evidence: MoveEvidenceTable,
    private val clock: Clock,
    private val wallClock: WallClock,
) {
    private val lock = ReentrantLock()
    private val stops = mutableMapOf<Pair<String, Long>, MoveStop>()
    private val stepFirstSeen = mutableMapOf<Triple<String, Long, Int>, Duration>()
    private val lastAppend = mutableMapOf<String, Duration>()

    /** The moves that are stopped on this entry VM and have no verdict yet. */
    public fun stops(): List<MoveStop> = lock.withLock { stops.values.toList() }

    /** Adopts the stops of a peer. */
    public fun merge(peerStops: List<MoveStop>): Unit = lock.withLock { peerStops.forEach { stops.putIfAbsent(it.move to it.started, it) } }

    /** How [service]'s calls are divided between two versions under [state], or null when the service has no move. */
    public fun versionShare(
        state: EnvironmentState,
        service: String,
    ): VersionShare? {
        val move = state.environment?.moveOf(service) ?: return null
        val progress = state.moves[move.name] ?: return null
        val stopped = lock.withLock { (move.name to progress.started) in stops }
        val share =
            when (progress.verdict?.kind) {
                VerdictKind.FINISHED -> 1.0
                VerdictKind.TAKEN_BACK -> 0.0
                null -> if (stopped) 0.0 else move.steps[progress.step].sharePercent / PERCENT
            }
        return VersionShare(move.fromVersion, move.toVersion, share)
    }

    /**
     * Assesses every move without a verdict and returns the records to append.
     *
     * [leaseHeldUntil] is `LeaseTable.heldUntil`: the time on [clock] until which this entry VM holds a service's lease.
     */
    public fun decide(
        state: EnvironmentState,
        leaseHeldUntil: (String) -> Duration,
    ): List<LogRecord> =
        lock.withLock {
            val open = openMoves(state)
            evidence.retainMoves(open.map { (move, progress) -> move.name to progress.started }.toSet())
            stops.keys.retainAll(open.map { (move, progress) -> move.name to progress.started }.toSet())
            open.mapNotNull { (move, progress) -> decide(state, move, progress, leaseHeldUntil) }
        }

    private fun openMoves(state: EnvironmentState): List<Pair<Move, MoveState>> =
        state.environment
            ?.moves
            .orEmpty()
            .mapNotNull { move -> state.moves[move.name]?.let { move to it } }
            .filter { (_, progress) -> progress.verdict == null }

    private fun decide(
        state: EnvironmentState,
        move: Move,
        progress: MoveState,
        leaseHeldUntil: (String) -> Duration,
    ): LogRecord? {
        val service = state.environment?.service(move.service) ?: return null
        val key = move.name to progress.started
        val judgement = judgement(move, progress, service)
        val reason = (judgement as? Judgement.Faulty)?.reason ?: "the deadline ${move.deadline} came first".takeIf { isDeadlineDue(move) }
        if (reason != null) stops.putIfAbsent(key, MoveStop(move.name, progress.started, reason))
        val stop = stops[key]
        val now = clock()
        val holdsLease = leaseHeldUntil(move.service) > now + LEASE_MARGIN
        val isStepHoldOver = isStepHoldOver(move, progress, now)
        return when {
            stop != null -> rateLimited(move, Verdict(move.name, progress.started, VerdictKind.TAKEN_BACK, stop.reason, identity))
            holdsLease && isStepHoldOver && judgement == Judgement.Healthy -> rateLimited(move, nextRecord(move, progress, service))
            else -> null
        }
    }

    private fun judgement(
        move: Move,
        progress: MoveState,
        service: Service,
    ): Judgement {
        val versionOf = service.targets.associate { it.name to it.version }
        val counts = evidence.countsOf(move.name, progress.started)
        val old = counts.filterKeys { versionOf[it.target] == move.fromVersion }
        val new = counts.filterKeys { versionOf[it.target] == move.toVersion }
        return judge(move.evidence, old, new)
    }

    private fun isDeadlineDue(move: Move): Boolean {
        val deadline = parseInstant(move.deadline)?.toEpochMilli() ?: return false
        return wallClock() >= deadline - DEADLINE_MARGIN.inWholeMilliseconds
    }

    private fun isStepHoldOver(
        move: Move,
        progress: MoveState,
        now: Duration,
    ): Boolean {
        val since = stepFirstSeen.getOrPut(Triple(move.name, progress.started, progress.step)) { now }
        return now - since >= move.steps[progress.step].holdMilliseconds.milliseconds
    }

    private fun nextRecord(
        move: Move,
        progress: MoveState,
        service: Service,
    ): LogRecord? {
        val isLastStep = progress.step == move.steps.lastIndex
        if (!isLastStep) return MoveAdvance(move.name, progress.started, progress.step + 1)
        val slots = service.targets.filter { it.version == move.toVersion }.sumOf { it.slots }
        val reason = "the full share was held for ${move.steps.last().holdMilliseconds} ms on $slots slots"
        return Verdict(move.name, progress.started, VerdictKind.FINISHED, reason, identity)
    }

    /** Returns [record], or null too soon after the last append for [move]: the log may take a while to return that record. */
    private fun rateLimited(
        move: Move,
        record: LogRecord?,
    ): LogRecord? {
        val now = clock()
        val last = lastAppend[move.name]
        if (last != null && now - last < APPEND_INTERVAL) return null
        lastAppend[move.name] = now
        return record
    }

    private companion object {
        const val PERCENT = 100.0

        /** A lease must have more than this left, so that the record is on the log before the lease ends. */
        val LEASE_MARGIN = 2.seconds

        /** The minimum time between two appends for one move. */
        val APPEND_INTERVAL = 1.seconds

        /** A move is rolled back this long before its deadline, so that the verdict is on the log by then. */
        val DEADLINE_MARGIN = 2.seconds
    }
}
