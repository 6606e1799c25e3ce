package dev.goldcrestquay.machine

import dev.goldcrestquay.internal.stableHash

/**
 * The peer address of the entry VM that [self] replicates records from when [leader] reads the store.
 *
 * In a fleet of up to [FAN_OUT] members, all ask the leader itself. In a larger one, the members of each data centre form a tree:
 * the root asks the leader, and each member is asked by up to [FAN_OUT] others. In the leader's data centre, the leader is the
 * root. So no member answers more than a bounded number of peers, and records cross between data centres once. Members for which
 * [isUsable] is false are left out.
 */
public fun replicationSource(
    self: FleetMember,
    leader: SocketAddress,
    members: List<FleetMember>,
    isUsable: (SocketAddress) -> Boolean,
): SocketAddress {
    if (members.size <= FAN_OUT) return leader
    val leaderDataCentre = members.firstOrNull { it.peerAddress == leader }?.dataCentre ?: return leader
    val neighbours =
        members
            .filter { it.dataCentre == self.dataCentre && it.peerAddress != leader }
            .filter { it.name == self.name || isUsable(it.peerAddress) }
            .sortedBy { stableHash(it.peerAddress.toString()) }
            .map { it.peerAddress }
    val tree = if (leaderDataCentre == self.dataCentre) listOf(leader) + neighbours else neighbours
    val index = tree.indexOf(self.peerAddress)
    return if (index <= 0) leader else tree[(index - 1) / FAN_OUT]
}

/** How many members ask one: 32 held requests cost an entry VM about a hundredth of a core, and two levels reach a thousand members. */
private const val FAN_OUT = 32
