package dev.goldcrestquay.routing

import dev.goldcrestquay.internal.rendezvousOwners
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Divides the request limit that a target names among the entry VMs, without messages between them.
 *
 * A few entry VMs, the owners that rendezvous hashing over the known members selects, share nearly the whole limit, so that each may
 * send often enough to be of use. The others send rarely, only to learn whether the target still names its limit. Requests are spaced
 * evenly, so that those of several entry VMs do not add up to a burst. While member lists differ, there may be twice as many owners,
 * which stay within one and a half times the limit and five requests in any four seconds.
 *
 * @param self the name of this entry VM.
 * @param members the names of all entry VMs, this one included; empty while they are not known, which allows no request.
 */
public class RequestLimitShares(
    private val self: String,
    private val members: () -> Collection<String>,
) {
    private var knownMembers: Collection<String> = emptyList()

    /** Whether this entry VM is among a number of owners of a target; kept since the order takes a hash of every member. */
    private val ownership = HashMap<Pair<String, Int>, Boolean>()

    /** The time between this entry VM's requests to [target], which takes [requestsPerSecond] from all entry VMs together. */
    public fun interval(
        target: String,
        requestsPerSecond: Double,
    ): Duration {
        val names = members()
        if (names.isEmpty() || requestsPerSecond <= 0) return Duration.INFINITE
        if (names != knownMembers) {
            knownMembers = names
            ownership.clear()
        }
        val owners = (requestsPerSecond / REQUESTS_PER_OWNER).toInt().coerceIn(1, names.size)
        val isOwner = ownership.getOrPut(target to owners) { self in rendezvousOwners(target, names, owners) }
        val (sharers, share) = if (isOwner) owners to OWNERS_SHARE else (names.size - owners) to OTHERS_SHARE
        return 1.seconds * (sharers / (requestsPerSecond * share))
    }

    private companion object {
        /** The requests per second of a limit for which there is one owner. */
        const val REQUESTS_PER_OWNER = 2.0

        /** The part of the limit that the owners share, which bounds the excess while member lists differ. */
        const val OWNERS_SHARE = 0.75

        /** The part of the limit that all others share. */
        const val OTHERS_SHARE = 0.1
    }
}
