package dev.goldcrestquay.routing

import dev.goldcrestquay.internal.rendezvousWeight
import dev.goldcrestquay.internal.stableHash
import dev.goldcrestquay.link.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the rate of requests to a cold target, summed over all entry VMs, without messages between them.
 *
 * Only one entry VM, chosen by rendezvous hashing over the members it knows, sends to a cold target. It uses [RATE_SHARE] of the
 * allowed rate, so that the limit holds while member lists differ and two entry VMs each consider themselves the owner.
 *
 * @property members the names of all entry VMs; empty while they are not known.
 */
public class ColdTargetLimiter(
    private val self: String,
    private val clock: Clock,
    private val members: () -> Collection<String>,
) {
    private val nextAllowedAt = HashMap<String, Duration>()

    /** Returns whether this entry VM may send a request to the cold [target] now; [requestsPerSecond] is the limit of all entry VMs. */
    public fun allows(
        target: String,
        requestsPerSecond: Double,
    ): Boolean = owner(target) == self && clock() >= (nextAllowedAt[target] ?: Duration.ZERO) && requestsPerSecond > 0

    /** Records a request sent to the cold [target]. */
    public fun recordSend(
        target: String,
        requestsPerSecond: Double,
    ) {
        nextAllowedAt[target] = clock() + 1.seconds / (requestsPerSecond * RATE_SHARE)
    }

    /** The only entry VM that may send to [target], or null while the members are not known. */
    private fun owner(target: String): String? {
        val hash = stableHash(target)
        return members().maxByOrNull { rendezvousWeight(hash, stableHash(it)) }
    }

    private companion object {
        const val RATE_SHARE = 0.85
    }
}
