package dev.goldcrestquay.move

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.machine.RegisteredTarget
import kotlinx.serialization.Serializable
import kotlin.math.floor
import kotlin.math.log2
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The answers that one entry VM counted for one version on one route since the entry VM started.
 *
 * The counters never decrease, except in [latencies], where requests in flight move on to longer times and leave when inconclusive.
 *
 * @property answered the number of requests, failed ones included.
 * @property failed the number of requests that were answered with a failure or not at all.
 * @property milliseconds the total latency of the successful answers.
 * @property latencies the number of requests by [latencyBucket]; failed ones are included, and those in flight by their time so far.
 */
@Serializable
public data class VersionCount(
    val service: String,
    val version: String,
    val route: String,
    val answered: Long,
    val failed: Long,
    val milliseconds: Double,
    val latencies: Map<Int, Long> = emptyMap(),
) {
    /** The number of successful answers. */
    public val succeeded: Long get() = answered - failed

    /** The mean latency of the successful answers in milliseconds, or null when there is none. */
    public val meanLatency: Double? get() = if (succeeded > 0) milliseconds / succeeded else null

    /** The number of requests, those in flight included. */
    public val observed: Long get() = latencies.values.sum()

    /** The number of requests that took, or have been waiting for, longer than [milliseconds]; slightly longer ones may be left out. */
    public fun slowerThan(milliseconds: Double): Long =
        latencies.entries.filter { (bucket, _) -> bucketStart(bucket) >= milliseconds }.sumOf { it.value }

    /** Adds the counters of [other]. */
    public operator fun plus(other: VersionCount): VersionCount =
        copy(
            answered = answered + other.answered,
            failed = failed + other.failed,
            milliseconds = milliseconds + other.milliseconds,
            latencies = (latencies.keys + other.latencies.keys).associateWith { (latencies[it] ?: 0) + (other.latencies[it] ?: 0) },
        )

    /** Subtracts the counters that the same process had [earlier]; a bucket that requests in flight have left falls below zero. */
    public operator fun minus(earlier: VersionCount): VersionCount =
        copy(
            answered = answered - earlier.answered,
            failed = failed - earlier.failed,
            milliseconds = milliseconds - earlier.milliseconds,
            latencies = (latencies.keys + earlier.latencies.keys).associateWith { (latencies[it] ?: 0) - (earlier.latencies[it] ?: 0) },
        )
}

/** The sums of [counts] over all entry VMs, one for each version and route of a service. */
internal fun sumByRoute(counts: List<VersionCount>): List<VersionCount> =
    counts.groupBy { Triple(it.service, it.version, it.route) }.values.map { it.reduce(VersionCount::plus) }

/** Counts by the process that made them, one for each version and route. */
internal typealias ProcessCounts = Map<String, List<VersionCount>>

/**
 * The sums of what the [counts] of each process have gained over those [earlier].
 *
 * Differences of sums would be wrong while processes end or are cut off: a few more answers with the latency of many more.
 */
internal fun gained(
    counts: ProcessCounts,
    earlier: ProcessCounts,
): List<VersionCount> =
    sumByRoute(counts.flatMap { (process, list) -> list.since(earlier[process].orEmpty()) })
        .map { sum -> sum.copy(latencies = sum.latencies.mapValues { (_, count) -> count.coerceAtLeast(0) }) }

/** What these counts of one process have gained over [earlier]. */
private fun List<VersionCount>.since(earlier: List<VersionCount>): List<VersionCount> =
    map { count -> earlier.firstOrNull { it.version == count.version && it.route == count.route }?.let { count - it } ?: count }

/** The number of a latency's bucket; two buckets double the latency. */
internal fun latencyBucket(milliseconds: Double): Int = floor(BUCKETS_PER_DOUBLING * log2(milliseconds.coerceAtLeast(1.0))).toInt()

private fun bucketStart(bucket: Int): Double = 2.0.pow(bucket / BUCKETS_PER_DOUBLING)

private const val BUCKETS_PER_DOUBLING = 2.0

/**
 * Counts this entry VM's answers by service, version and route, as evidence for rollouts on the platform; not thread-safe.
 *
 * `VersionCountTable` adds the counts of the other entry VMs. Moves have a [MoveEvidenceTable], which counts by target.
 */
public class VersionEvidence(
    private val clock: Clock,
) {
    private data class Key(
        val service: String,
        val version: String,
        val route: String,
    )

    private class Pending(
        val key: Key,
        val sentAt: Duration,
    )

    private val counts = HashMap<Key, VersionCount>()
    private val pending = HashMap<Long, Pending>()
    private var nextTicket = 0L

    /** Records a request sent to [target]; returns a ticket that identifies it. */
    public fun recordSend(
        target: RegisteredTarget,
        route: String,
    ): Long {
        val ticket = nextTicket++
        pending[ticket] = Pending(Key(target.service, target.version, route), clock())
        return ticket
    }

    /** Counts the answer to a request, or its absence when [failed]. */
    public fun recordAnswer(
        ticket: Long,
        failed: Boolean,
    ) {
        val request = pending.remove(ticket) ?: return
        val known = countOf(request.key)
        val took = (clock() - request.sentAt).toDouble(DurationUnit.MILLISECONDS)
        counts[request.key] =
            known.copy(
                answered = known.answered + 1,
                failed = known.failed + if (failed) 1 else 0,
                milliseconds = known.milliseconds + if (failed) 0.0 else took,
                latencies = known.latencies.increment(latencyBucket(took)),
            )
    }

    /** Records the end of a request that says nothing about its version, such as one whose caller left or that was not run. */
    public fun recordInconclusive(ticket: Long) {
        pending.remove(ticket)
    }

    /** The counters of the services in [services]. */
    public fun countsOf(services: Set<String>): List<VersionCount> {
        val now = clock()
        val result = HashMap(counts.filterKeys { it.service in services })
        for (request in pending.values) {
            if (request.key.service !in services) continue
            val waited = (now - request.sentAt).toDouble(DurationUnit.MILLISECONDS)
            val known = result[request.key] ?: countOf(request.key)
            result[request.key] = known.copy(latencies = known.latencies.increment(latencyBucket(waited)))
        }
        return result.values.toList()
    }

    private fun Map<Int, Long>.increment(bucket: Int): Map<Int, Long> = this + (bucket to (this[bucket] ?: 0) + 1)

    private fun countOf(key: Key): VersionCount = counts[key] ?: VersionCount(key.service, key.version, key.route, 0, 0, 0.0)
}
