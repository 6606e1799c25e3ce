package dev.goldcrestquay.spread

import dev.goldcrestquay.internal.rendezvousWeight
import dev.goldcrestquay.internal.stableHash

/**
 * The targets that one entry VM prefers among those of a service in its data centre, so that it keeps connections to few of them.
 *
 * Answers fleets in which each entry VM sees few requests, and would open a connection for most probes. Each target is preferred by equally
 * many entry VMs, the first ones in its rendezvous order; so members and targets that come and go move few preferences.
 *
 * @param self this entry VM's name.
 * @param members the names of the entry VMs in its data centre, as the same list until they change, since it is asked for at each choice; empty
 * while they are not known: nothing is preferred then.
 */
public class TargetSubset(
    private val self: String,
    private val members: () -> List<String>,
) {
    private var knownMembers = emptyList<String>()
    private var isMember = false
    private var memberHashes = LongArray(0)
    private val ranks = HashMap<String, Int>()

    /** Returns which targets are preferred among [targetCount] of a service, by identifier. */
    public fun preferred(targetCount: Int): (String) -> Boolean {
        val names = members()
        if (names !== knownMembers || ranks.size > MAXIMUM_TARGETS) {
            knownMembers = names
            isMember = self in names
            memberHashes = LongArray(names.size) { stableHash(names[it]) }
            ranks.clear()
        }
        if (!isMember || targetCount == 0) return { false }
        val share = (names.size * TARGETS_PER_MEMBER + targetCount - 1) / targetCount
        return { target -> ranks.getOrPut(target) { rank(target) } < share }
    }

    /** The number of members before this entry VM in the rendezvous order for [target]. */
    private fun rank(target: String): Int {
        val hash = stableHash(target)
        val own = rendezvousWeight(hash, stableHash(self))
        return memberHashes.count { rendezvousWeight(hash, it) > own }
    }

    private companion object {
        /** The targets of a service that an entry VM prefers on average: those of the first two rounds of probes. */
        const val TARGETS_PER_MEMBER = 8

        /** The table is cleared when it exceeds this size, which drops targets that no longer exist. */
        const val MAXIMUM_TARGETS = 10_000
    }
}
