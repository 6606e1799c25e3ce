package dev.goldcrestquay.move

import dev.goldcrestquay.machine.RegisteredTarget
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The answers that one entry VM counted for one version on one route since the entry VM started; the counters never decrease.
 *
 * @property answered the number of requests, failed ones included.
 * @property failed the number of requests that were answered with a failure or not at all.
 * @property milliseconds the total latency of the successful answers.
 */
@Serializable
public data class VersionCount(
    val service: String,
    val version: String,
    val route: String,
    val answered: Long,
    val failed: Long,
    val milliseconds: Double,
) {
    /** The number of successful answers. */
    public val succeeded: Long get() = answered - failed

    /** Adds the counters of [other]. */
    public operator fun plus(other: VersionCount): VersionCount =
        copy(answered = answered + other.answered, failed = failed + other.failed, milliseconds = milliseconds + other.milliseconds)
}

/** Counts answers by service, version and route, as evidence for rollouts; not thread-safe. */
public class VersionEvidence {
    private val counts = HashMap<Triple<String, String, String>, VersionCount>()

    /** Counts one answer of [target], or its absence when [failed]; [took] is the latency. */
    public fun recordAnswer(
        target: RegisteredTarget,
        route: String,
        failed: Boolean,
        took: Duration,
    ) {
        val key = Triple(target.service, target.version, route)
        val known = counts[key] ?: VersionCount(target.service, target.version, route, 0, 0, 0.0)
        counts[key] =
            known.copy(
                answered = known.answered + 1,
                failed = known.failed + if (failed) 1 else 0,
                milliseconds = known.milliseconds + if (failed) 0.0 else took.toDouble(DurationUnit.MILLISECONDS),
            )
    }

    /** The counters of the services in [services]. */
    public fun countsOf(services: Set<String>): List<VersionCount> = counts.values.filter { it.service in services }
}
