package dev.goldcrestquay.machine

import dev.goldcrestquay.internal.stableHash

/**
 * The entry VM to ask for facts when [reader] reads the store.
 *
 * A small fleet asks the reader itself. In a larger one, the first member of each data centre asks the reader for all of its
 * data centre, and below it [FAN_OUT] ask each member, so that nobody answers more than a bounded number and facts cross
 * between data centres once. Members that are not [usable] are passed over.
 */
public fun factSource(
    self: FleetMember,
    reader: SocketAddress,
    members: List<FleetMember>,
    usable: (SocketAddress) -> Boolean,
): SocketAddress {
    if (members.size <= FAN_OUT) return reader
    val home = members.firstOrNull { it.peerAddress == reader }?.dataCentre ?: return reader
    val neighbours =
        members
            .filter { it.dataCentre == self.dataCentre && it.peerAddress != reader }
            .filter { it.name == self.name || usable(it.peerAddress) }
            .sortedBy { stableHash(it.peerAddress.toString()) }
            .map { it.peerAddress }
    val row = if (home == self.dataCentre) listOf(reader) + neighbours else neighbours
    val place = row.indexOf(self.peerAddress)
    return if (place <= 0) reader else row[(place - 1) / FAN_OUT]
}

/** How many members ask one: 32 held calls cost an entry VM about a hundredth of a core, and two levels reach a thousand. */
private const val FAN_OUT = 32
