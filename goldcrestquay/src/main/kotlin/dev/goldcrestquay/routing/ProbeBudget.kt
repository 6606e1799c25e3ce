package dev.goldcrestquay.routing

import dev.goldcrestquay.link.Clock
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Bounds the probes that this entry VM sends, so that all together stay under the targets' rate.
 *
 * Answers long overload, in which every request asks many targets: what is saved in calm seconds may be spent at once.
 *
 * @property perTarget the probes that one target bears a second, from all entry VMs together.
 * @property members how many entry VMs share them, or null while that is not known.
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

    /** Takes up to [wanted] probes for [service], which has [targets] targets; returns how many are allowed. */
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

    /** The part of the saved probes for [service] that is left, 0 to 1. */
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
        /** Leaves room for members that are not known yet. */
        const val SAFETY = 0.8

        /** How many seconds' probes may be saved for a burst. */
        const val SAVED_SECONDS = 8.0

        /** Assumed before the fleet is known: the size of today's deployments. */
        const val UNKNOWN_MEMBERS = 20
    }
}
