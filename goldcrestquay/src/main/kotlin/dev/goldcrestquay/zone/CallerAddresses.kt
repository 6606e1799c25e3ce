package dev.goldcrestquay.zone

import dev.goldcrestquay.machine.FleetMember
import dev.goldcrestquay.machine.SocketAddress
import kotlin.random.Random

/**
 * The addresses that a caller in [dataCentre] may connect to on the platform, in random order; [addressAnswer] is the counterpart of
 * the project's own interface.
 *
 * Callers spread their connections evenly over the addresses. Large bodies between data centres take longer and cost more, so a caller gets
 * the entry VMs of its own data centre, unless fewer than [MINIMUM_NEARBY] of them accept callers: one alone may fail at any moment.
 */
public fun callerAddresses(
    members: List<FleetMember>,
    dataCentre: String?,
    maximum: Int,
    random: Random,
): List<SocketAddress> {
    val accepting = members.filter { it.accepting }
    val nearby = accepting.filter { it.dataCentre == dataCentre }
    val named = if (nearby.size >= MINIMUM_NEARBY) nearby else accepting
    return named.map { it.callerAddress }.shuffled(random).take(maximum)
}

private const val MINIMUM_NEARBY = 2
