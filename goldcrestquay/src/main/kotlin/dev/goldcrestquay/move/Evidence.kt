package dev.goldcrestquay.move

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** What evidence is counted for: one target on one route during one move. */
public data class EvidenceKey(
    val move: String,
    val started: Long,
    val target: String,
    val route: Int,
)

/**
 * Counters of answered calls; they only grow.
 *
 * @property totalMilliseconds the sum of the calls' latencies.
 * @property totalSquares the sum of the latencies' squares.
 */
public data class EvidenceCount(
    val calls: Long = 0,
    val failures: Long = 0,
    val totalMilliseconds: Double = 0.0,
    val totalSquares: Double = 0.0,
) {
    /** The sum of both counts. */
    public operator fun plus(other: EvidenceCount): EvidenceCount =
        EvidenceCount(
            calls + other.calls,
            failures + other.failures,
            totalMilliseconds + other.totalMilliseconds,
            totalSquares + other.totalSquares,
        )
}

/** One counter as entry VMs send it to each other. */
public data class EvidenceRow(
    val key: EvidenceKey,
    val count: EvidenceCount,
)

/** The evidence of all entry VMs; each entry VM's counters replace its earlier ones, so repeats and reordering do no harm. */
public class MoveEvidenceTable(
    private val identity: String,
) {
    private val lock = ReentrantLock()
    private val byVm = mutableMapOf<String, MutableMap<EvidenceKey, EvidenceCount>>()

    /** Counts one answered call. */
    public fun record(
        key: EvidenceKey,
        failed: Boolean,
        milliseconds: Double,
    ): Unit =
        lock.withLock {
            val one = EvidenceCount(1, if (failed) 1 else 0, milliseconds, milliseconds * milliseconds)
            val own = byVm.getOrPut(identity) { mutableMapOf() }
            own[key] = (own[key] ?: EvidenceCount()) + one
        }

    /** Takes in the counters of entry VM [vm]; an older message than the last changes nothing. */
    public fun merge(
        vm: String,
        rows: List<EvidenceRow>,
    ): Unit =
        lock.withLock {
            if (vm == identity) return
            val known = byVm.getOrPut(vm) { mutableMapOf() }
            for (row in rows) {
                if (row.count.calls > (known[row.key]?.calls ?: 0)) known[row.key] = row.count
            }
        }

    /** This entry VM's own counters. */
    public fun ownRows(): List<EvidenceRow> = lock.withLock { byVm[identity].orEmpty().map { (key, count) -> EvidenceRow(key, count) } }

    /** The counters of a move, summed over entry VMs. */
    public fun countsOf(
        move: String,
        started: Long,
    ): Map<EvidenceKey, EvidenceCount> =
        lock.withLock {
            byVm.values
                .flatMap { it.entries }
                .filter { it.key.move == move && it.key.started == started }
                .groupBy({ it.key }, { it.value })
                .mapValues { (_, counts) -> counts.reduce(EvidenceCount::plus) }
        }

    /** Forgets all moves but [open], given as name and start. */
    public fun retainMoves(open: Set<Pair<String, Long>>): Unit =
        lock.withLock { byVm.values.forEach { counts -> counts.keys.removeIf { (it.move to it.started) !in open } } }
}
