package dev.goldcrestquay.move

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * What evidence is counted for: one target on one route during one move.
 *
 * @property move the name of the move.
 * @property started the generation that added or last changed the move.
 * @property target the name of the target.
 * @property route the index of the route in its service, or -1 for calls that match none.
 */
public data class EvidenceKey(
    val move: String,
    val started: Long,
    val target: String,
    val route: Int,
)

/**
 * Counters of answered calls; they never decrease.
 *
 * @property totalMilliseconds the sum of the calls' latencies in milliseconds.
 * @property totalSquares the sum of the squared latencies in square milliseconds.
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

/** The counters of one key, as entry VMs exchange them. */
public data class EvidenceRow(
    val key: EvidenceKey,
    val count: EvidenceCount,
)

/**
 * The evidence of all entry VMs; thread-safe.
 *
 * Each entry VM sends its totals, and greater totals replace smaller ones, so repeated and reordered messages do no harm.
 */
public class MoveEvidenceTable(
    private val identity: String,
) {
    private val lock = ReentrantLock()
    private val countsByVm = mutableMapOf<String, MutableMap<EvidenceKey, EvidenceCount>>()

    /** Counts one answered call. */
    public fun record(
        key: EvidenceKey,
        failed: Boolean,
        milliseconds: Double,
    ): Unit =
        lock.withLock {
            val call = EvidenceCount(1, if (failed) 1 else 0, milliseconds, milliseconds * milliseconds)
            val own = countsByVm.getOrPut(identity) { mutableMapOf() }
            own[key] = (own[key] ?: EvidenceCount()) + call
        }

    /** Merges the counters of entry VM [vm]; an outdated message changes nothing. */
    public fun merge(
        vm: String,
        rows: List<EvidenceRow>,
    ): Unit =
        lock.withLock {
            if (vm == identity) return
            val known = countsByVm.getOrPut(vm) { mutableMapOf() }
            for (row in rows) {
                if (row.count.calls > (known[row.key]?.calls ?: 0)) known[row.key] = row.count
            }
        }

    /** This entry VM's own counters. */
    public fun ownRows(): List<EvidenceRow> =
        lock.withLock { countsByVm[identity].orEmpty().map { (key, count) -> EvidenceRow(key, count) } }

    /** The counters of one move, summed over all entry VMs. */
    public fun countsOf(
        move: String,
        started: Long,
    ): Map<EvidenceKey, EvidenceCount> =
        lock.withLock {
            countsByVm.values
                .flatMap { it.entries }
                .filter { it.key.move == move && it.key.started == started }
                .groupBy({ it.key }, { it.value })
                .mapValues { (_, counts) -> counts.reduce(EvidenceCount::plus) }
        }

    /** Drops the counters of all moves but [open], given as pairs of name and start. */
    public fun retainMoves(open: Set<Pair<String, Long>>): Unit =
        lock.withLock { countsByVm.values.forEach { counts -> counts.keys.removeIf { (it.move to it.started) !in open } } }
}
