package dev.goldcrestquay.routing

import dev.goldcrestquay.link.Clock
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Limits the probes of this entry VM with a token bucket per service, so that those of all entry VMs stay under the targets' limit.
 *
 * In a long overload every request would probe many targets. Probes that are not used in idle seconds are saved for bursts.
 *
 * @property perTarget the probes per second that one target may receive from all entry VMs together.
 * @property members the number of entry VMs that share this rate, or null while it is not known.
 */
public class ProbeBudget(
    private val perTarget: () -> Double,
    private val clock: Clock,
    private val members: () -> Int?,
) {
    private class Bucket(
        var tokens: Double,
        var refilledAt: Duration,
    )

    private val buckets = HashMap<String, Bucket>()

    /** Takes up to [wanted] probes for [service], which has [targets] targets; returns the number of probes allowed. */
    public fun take(
        service: String,
        targets: Int,
        wanted: Int,
    ): Int {
        val bucket = refilledBucket(service, targets)
        val allowed = wanted.coerceAtMost(bucket.tokens.toInt())
        bucket.tokens -= allowed
        return allowed
    }

    /** The fill level of the bucket of [service], from 0 (empty) to 1 (full). */
    public fun fillLevel(
        service: String,
        targets: Int,
    ): Double = refilledBucket(service, targets).tokens / (rate(targets) * BUCKET_SECONDS)

    private fun rate(targets: Int): Double = perTarget() * USED_SHARE * targets / (members() ?: ASSUMED_MEMBERS)

    private fun refilledBucket(
        service: String,
        targets: Int,
    ): Bucket {
        val rate = rate(targets)
        val now = clock()
        val bucket = buckets.getOrPut(service) { Bucket(rate * BUCKET_SECONDS, now) }
        val elapsed = (now - bucket.refilledAt).toDouble(DurationUnit.SECONDS)
        bucket.tokens = (bucket.tokens + elapsed * rate).coerceAtMost(rate * BUCKET_SECONDS)
        bucket.refilledAt = now
        return bucket
    }

    private companion object {
        /** The share of the rate that is used; the rest is left for members that are not known yet. */
        const val USED_SHARE = 0.8

        /** The capacity of a bucket, in seconds of its rate. */
        const val BUCKET_SECONDS = 8.0

        /** The number of members assumed before the member list is known: the size of current deployments. */
        const val ASSUMED_MEMBERS = 20
    }
}
