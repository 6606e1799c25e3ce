package dev.goldcrestquay.routing

import dev.goldcrestquay.machine.FleetMember
import dev.goldcrestquay.machine.FleetMembers
import dev.goldcrestquay.organisation.RelayedCaller
import kotlin.random.Random
import kotlin.time.Duration

/**
 * What an entry VM tells a peer with a request that the peer is to serve in its place.
 *
 * @property from the name of the entry VM that the caller connected to.
 * @property elapsed the time since the request arrived there.
 * @property attempts how many targets the peer may still send the request to.
 * @property caller for whom the request is; null when the peer has to find that out from the request, as from every earlier release.
 */
public data class RelayTerms(
    val from: String,
    val elapsed: Duration,
    val attempts: Int,
    val caller: RelayedCaller? = null,
)

/** Chooses the peers that a cut-off entry VM relays requests to. */
public class RelayPeers(
    private val members: FleetMembers,
    private val random: Random,
) {
    /** The members that do not relay, by name and incarnation. */
    private val withoutRelay = HashSet<Pair<String, Long>>()

    /** The name of this entry VM. */
    public val self: String get() = members.self.name

    /**
     * The peers that accept callers, reach targets and are not known to be unable to relay, in the order in which they are to be asked.
     *
     * Those of the same data centre come first, unless most of it is cut off: the few that are left would get the requests of all.
     *
     * @param formatVersion the version of the messages that a peer must read at least.
     */
    public fun candidates(formatVersion: Int = 0): List<FleetMember> {
        val dataCentre = members.self.dataCentre
        val reading = members.alive.filter { it.formatVersion >= formatVersion }
        val usable = reading.filter { it.name != self && it.accepting && it.reachesTargets && !isWithoutRelay(it) }.shuffled(random)
        val (nearby, distant) = usable.partition { it.dataCentre == dataCentre }
        val isMostlyReaching = nearby.size * 2 >= members.alive.count { it.dataCentre == dataCentre }
        return if (isMostlyReaching) nearby + distant else usable
    }

    /** Records that [peer] runs a release that does not relay; it is asked again only after it has restarted. */
    public fun recordRejection(peer: FleetMember) {
        val present = members.alive.mapTo(HashSet()) { it.name to it.incarnation }
        withoutRelay.retainAll(present)
        withoutRelay += peer.name to peer.incarnation
    }

    private fun isWithoutRelay(peer: FleetMember): Boolean = withoutRelay.isNotEmpty() && (peer.name to peer.incarnation) in withoutRelay
}
