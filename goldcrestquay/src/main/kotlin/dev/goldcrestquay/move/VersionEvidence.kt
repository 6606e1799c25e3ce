package dev.goldcrestquay.move

import dev.goldcrestquay.machine.RegisteredTarget
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * What one entry VM saw of one version on one route since its start; the figures only grow.
 *
 * @property failed answers that were failures, or that never came.
 * @property milliseconds the time of all good answers together.
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
    /** The good answers. */
    public val good: Long get() = answered - failed

    /** Adds the figures of [other]. */
    public operator fun plus(other: VersionCount): VersionCount =
        copy(answered = answered + other.answered, failed = failed + other.failed, milliseconds = milliseconds + other.milliseconds)
}

/** Counts answers by service, version and route for the judgement of moves. */
public class VersionEvidence {
    private val counts = HashMap<Triple<String, String, String>, VersionCount>()

    /** Counts one answer of [target]. */
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

    /** What was seen of the services in [services]. */
    public fun countsOf(services: Set<String>): List<VersionCount> = counts.values.filter { it.service in services }
}
