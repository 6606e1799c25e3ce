package dev.goldcrestquay.routing

import dev.goldcrestquay.internal.rendezvousWeight
import dev.goldcrestquay.internal.stableHash
import dev.goldcrestquay.link.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the requests a second of a cold target under its bound, summed over all entry VMs.
 *
 * One entry VM, by rendezvous hash over the members it knows, may send to a cold target, at [SHARE] of the allowed rate: the
 * bound holds while two entry VMs each believe that they are the one.
 *
 * @property members the names of all entry VMs, empty while they are not known.
 */
public class ColdTargetLimiter(
    private val self: String,
    private val clock: Clock,
    private val members: () -> Collection<String>,
) {
    private val nextAt = HashMap<String, Duration>()

    /** Whether this entry VM may send a request to the cold [target] now, at [perSecond] requests a second in all. */
    public fun allows(
        target: String,
        perSecond: Double,
    ): Boolean = owner(target) == self && clock() >= (nextAt[target] ?: Duration.ZERO) && perSecond > 0

    /** Counts a request to the cold [target]. */
    public fun sent(
        target: String,
        perSecond: Double,
    ) {
        nextAt[target] = clock() + 1.seconds / (perSecond * SHARE)
    }

    /** The entry VM that may send to [target], or null while the members are not known. */
    private fun owner(target: String): String? {
        val hash = stableHash(target)
        return members().maxByOrNull { rendezvousWeight(hash, stableHash(it)) }
    }

    private companion object {
        const val SHARE = 0.85
    }
}
