package dev.goldcrestquay.zone

import dev.goldcrestquay.contract.Service
import dev.goldcrestquay.internal.rendezvousWeight
import dev.goldcrestquay.internal.stableHash
import dev.goldcrestquay.machine.MemberRecord

/**
 * The constants of placement.
 *
 * @property callsPerEntry the calls a second that one entry VM carries.
 * @property minimumDataCentres the data centres each service is spread over, where there are as many.
 * @property loadBound how far above the mean load an entry VM may be planned.
 */
public data class PlacementSettings(
    val callsPerEntry: Int = 4000,
    val minimumDataCentres: Int = 3,
    val loadBound: Double = 1.25,
)

/** The entry VMs that carry each service; the first of a list is the service's first choice for its lease. */
public class Placement private constructor(
    private val carriers: Map<String, List<MemberRecord>>,
) {
    /** The entry VMs that carry [service]. */
    public fun carriersOf(service: String): List<MemberRecord> = carriers[service].orEmpty()

    /** The services that the entry VM called [member] carries. */
    public fun servicesOf(member: String): Set<String> = carriers.filterValues { list -> list.any { it.name == member } }.keys

    public companion object {
        /** A placement without services. */
        public val EMPTY: Placement = Placement(emptyMap())

        /**
         * Places [services] on [members] by rendezvous hash with bounded load.
         *
         * The result depends on the two lists alone, so entry VMs that see the same members place alike.
         */
        public fun of(
            services: List<Service>,
            members: List<MemberRecord>,
            settings: PlacementSettings = PlacementSettings(),
        ): Placement {
            if (members.isEmpty()) return EMPTY
            val planner = Planner(members, services, settings)
            val order = services.sortedWith(compareByDescending<Service> { it.callsPerSecond }.thenBy { it.name })
            return Placement(order.associate { it.name to planner.place(it) })
        }
    }
}

private class Planner(
    private val members: List<MemberRecord>,
    services: List<Service>,
    private val settings: PlacementSettings,
) {
    private val planned = DoubleArray(members.size)
    private val hashes = LongArray(members.size) { stableHash(members[it].name) }
    private val bound = services.sumOf { it.callsPerSecond.toDouble() } / members.size * settings.loadBound
    private val dataCentreNames = members.map { it.dataCentre }.distinct()
    private val dataCentres = IntArray(members.size) { dataCentreNames.indexOf(members[it].dataCentre) }

    fun place(service: Service): List<MemberRecord> {
        val byLoad = ceilingOf(service.callsPerSecond, settings.callsPerEntry)
        val count = maxOf(service.entryMinimum, byLoad).coerceAtMost(members.size)
        val part = service.callsPerSecond.toDouble() / count
        val keyHash = stableHash(service.name)
        val weights = LongArray(members.size) { rendezvousWeight(keyHash, hashes[it]) }
        val spread = minOf(settings.minimumDataCentres, dataCentreNames.size, count)
        val chosen = BooleanArray(members.size)
        val used = BooleanArray(dataCentreNames.size)
        return List(count) { place ->
            val next = next(weights, part) { !chosen[it] && (place >= spread || !used[dataCentres[it]]) }
            chosen[next] = true
            used[dataCentres[next]] = true
            planned[next] += part
            members[next]
        }
    }

    /** The open member of the greatest weight with room for [part] more; without any, the one with the least load. */
    private inline fun next(
        weights: LongArray,
        part: Double,
        isOpen: (Int) -> Boolean,
    ): Int {
        var heaviest = NONE
        var idlest = NONE
        for (index in members.indices) {
            if (!isOpen(index)) continue
            if (idlest == NONE || planned[index] < planned[idlest]) idlest = index
            if (planned[index] + part > bound) continue
            if (heaviest == NONE || weights[index] > weights[heaviest]) heaviest = index
        }
        return if (heaviest == NONE) idlest else heaviest
    }

    private fun ceilingOf(
        value: Int,
        divisor: Int,
    ): Int = -Math.floorDiv(-value, divisor)

    private companion object {
        const val NONE = -1
    }
}
