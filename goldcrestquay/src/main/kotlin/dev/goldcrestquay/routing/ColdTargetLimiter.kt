package dev.goldcrestquay.routing

import dev.goldcrestquay.internal.rendezvousOwners
import dev.goldcrestquay.link.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the rate of requests to a cold target, summed over all entry VMs, without messages between them.
 *
 * Only one entry VM, the owner that rendezvous hashing over the known members selects, sends to a cold target, at [RATE_SHARE] of
 * the allowed rate. While member lists differ, two entry VMs may each consider themselves the owner and together send at up to
 * 1.7 times the allowed rate. The test of this case, at 7 requests per second, accepts 1.5 times that rate plus 5 in any second.
 *
 * @property members the names of all entry VMs; empty while they are not known.
 */
public class ColdTargetLimiter(
    private val self: String,
    private val clock: Clock,
    private val members: () -> Collection<String>,
) {
    private val nextAllowedAt = HashMap<String, Duration>()
    private var knownMembers: Collection<String> = emptyList()

    /** The owners of targets; kept since every placement asks for those of all cold targets, and an owner takes a hash of every member. */
    private val owners = HashMap<String, String?>()

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
        val names = members()
        if (names != knownMembers) {
            knownMembers = names
            owners.clear()
        }
        return owners.getOrPut(target) { rendezvousOwners(target, names, count = 1).firstOrNull() }
    }

    private companion object {
        /** The share of the allowed rate that an owner uses, which bounds the excess while there are two owners. */
        const val RATE_SHARE = 0.85
    }
}
