package dev.goldcrestquay.routing

import dev.goldcrestquay.link.Clock
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Limits the probes of this entry VM with a token bucket per service, so that those of all entry VMs stay under the targets' limit.
 *
 * In a long overload every request would probe many targets. Probes that are not used in quiet seconds are saved for bursts.
 *
 * @property perTarget the probes per second that one target may receive from all entry VMs together.
 * @property members the number of entry VMs that share this rate, or null while it is not known.
 */
public class ProbeBudget(
    private val perTarget: Double,
    private val clock: Clock,
    private val members: () -> Int?,
) {
    private class Bucket(
        var tokens: Double,
        var filledAt: Duration,
    )

    private val buckets = HashMap<String, Bucket>()

    /** Takes up to [wanted] probes for [service], which has [targets] targets; returns the number of probes allowed. */
    public fun take(
        service: String,
        targets: Int,
        wanted: Int,
    ): Int {
        val bucket = filled(service, targets)
        val allowed = wanted.coerceAtMost(bucket.tokens.toInt())
        bucket.tokens -= allowed
        return allowed
    }

    /** The fill level of the bucket of [service], from 0 (empty) to 1 (full). */
    public fun left(
        service: String,
        targets: Int,
    ): Double = filled(service, targets).tokens / (rate(targets) * SAVED_SECONDS)

    private fun rate(targets: Int): Double = perTarget * SAFETY * targets / (members() ?: UNKNOWN_MEMBERS)

    private fun filled(
        service: String,
        targets: Int,
    ): Bucket {
        val rate = rate(targets)
        val now = clock()
        val bucket = buckets.getOrPut(service) { Bucket(rate * SAVED_SECONDS, now) }
        val elapsed = (now - bucket.filledAt).toDouble(DurationUnit.SECONDS)
        bucket.tokens = (bucket.tokens + elapsed * rate).coerceAtMost(rate * SAVED_SECONDS)
        bucket.filledAt = now
        return bucket
    }

    private companion object {
        /** The share of the rate that is used; the rest is left for members that are not known yet. */
        const val SAFETY = 0.8

        /** The capacity of a bucket, in seconds of its rate. */
        const val SAVED_SECONDS = 8.0

        /** The number of members assumed before the member list is known: the size of current deployments. */
        const val UNKNOWN_MEMBERS = 20
    }
}
