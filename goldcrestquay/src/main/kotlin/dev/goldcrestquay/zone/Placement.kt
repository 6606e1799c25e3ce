package dev.goldcrestquay.zone

import dev.goldcrestquay.contract.Service
import dev.goldcrestquay.internal.rendezvousWeight
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
    private val planned = members.associateTo(mutableMapOf()) { it.name to 0.0 }
    private val bound = services.sumOf { it.callsPerSecond.toDouble() } / members.size * settings.loadBound
    private val dataCentres = members.map { it.dataCentre }.distinct().size

    fun place(service: Service): List<MemberRecord> {
        val byLoad = ceilingOf(service.callsPerSecond, settings.callsPerEntry)
        val count = maxOf(service.entryMinimum, byLoad).coerceAtMost(members.size)
        val part = service.callsPerSecond.toDouble() / count
        val ranked = members.sortedByDescending { rendezvousWeight(service.name, it.name) }
        val chosen = mutableListOf<MemberRecord>()
        val spread = minOf(settings.minimumDataCentres, dataCentres, count)
        while (chosen.size < count) {
            val used = chosen.mapTo(mutableSetOf()) { it.dataCentre }
            val open = ranked.filter { it !in chosen && (used.size >= spread || it.dataCentre !in used) }
            val next = open.firstOrNull { planned.getValue(it.name) + part <= bound } ?: open.minBy { planned.getValue(it.name) }
            chosen += next
            planned.merge(next.name, part, Double::plus)
        }
        return chosen
    }

    private fun ceilingOf(
        value: Int,
        divisor: Int,
    ): Int = -Math.floorDiv(-value, divisor)
}
