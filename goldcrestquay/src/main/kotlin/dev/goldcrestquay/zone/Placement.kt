package dev.goldcrestquay.zone

import dev.goldcrestquay.contract.Service
import dev.goldcrestquay.internal.rendezvousWeight
import dev.goldcrestquay.internal.stableHash
import dev.goldcrestquay.machine.MemberRecord

/**
 * The parameters of placement.
 *
 * @property callsPerEntry the load of a service that one entry VM is planned to carry, in calls per second.
 * @property minimumDataCentres the minimum number of data centres that each service is spread over, where there are as many.
 * @property loadBound the highest planned load of an entry VM, as a multiple of the mean load.
 */
public data class PlacementSettings(
    val callsPerEntry: Int = 4000,
    val minimumDataCentres: Int = 3,
    val loadBound: Double = 1.25,
)

/** The entry VMs that carry each service; the first one of a service is the preferred holder of its lease. */
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
         * Places [services] on [members] by rendezvous hashing with bounded loads.
         *
         * The result depends only on the arguments, so entry VMs that know the same members compute the same placement.
         */
        public fun of(
            services: List<Service>,
            members: List<MemberRecord>,
            settings: PlacementSettings = PlacementSettings(),
        ): Placement {
            if (members.isEmpty()) return EMPTY
            val planner = PlacementPlanner(members, services, settings)
            val order = services.sortedWith(compareByDescending<Service> { it.callsPerSecond }.thenBy { it.name })
            return Placement(order.associate { it.name to planner.place(it) })
        }
    }
}

private class PlacementPlanner(
    private val members: List<MemberRecord>,
    services: List<Service>,
    private val settings: PlacementSettings,
) {
    private val plannedLoads = DoubleArray(members.size)
    private val memberHashes = LongArray(members.size) { stableHash(members[it].name) }
    private val maximumLoad = services.sumOf { it.callsPerSecond.toDouble() } / members.size * settings.loadBound
    private val dataCentreNames = members.map { it.dataCentre }.distinct()
    private val dataCentreIndexes = IntArray(members.size) { dataCentreNames.indexOf(members[it].dataCentre) }

    fun place(service: Service): List<MemberRecord> {
        val countForLoad = ceilingOf(service.callsPerSecond, settings.callsPerEntry)
        val count = maxOf(service.entryMinimum, countForLoad).coerceAtMost(members.size)
        val load = service.callsPerSecond.toDouble() / count
        val serviceHash = stableHash(service.name)
        val weights = LongArray(members.size) { rendezvousWeight(serviceHash, memberHashes[it]) }
        val distinctDataCentres = minOf(settings.minimumDataCentres, dataCentreNames.size, count)
        val chosen = BooleanArray(members.size)
        val usedDataCentres = BooleanArray(dataCentreNames.size)
        return List(count) { position ->
            val nextMemberIndex =
                nextMemberIndex(weights, load) {
                    !chosen[it] && (position >= distinctDataCentres || !usedDataCentres[dataCentreIndexes[it]])
                }
            chosen[nextMemberIndex] = true
            usedDataCentres[dataCentreIndexes[nextMemberIndex]] = true
            plannedLoads[nextMemberIndex] += load
            members[nextMemberIndex]
        }
    }

    /** The index of the eligible member of the greatest weight that has room for [load], or else of the least loaded one. */
    private inline fun nextMemberIndex(
        weights: LongArray,
        load: Double,
        isEligible: (Int) -> Boolean,
    ): Int {
        var heaviest = NONE
        var leastLoaded = NONE
        for (index in members.indices) {
            if (!isEligible(index)) continue
            if (leastLoaded == NONE || plannedLoads[index] < plannedLoads[leastLoaded]) leastLoaded = index
            if (plannedLoads[index] + load > maximumLoad) continue
            if (heaviest == NONE || weights[index] > weights[heaviest]) heaviest = index
        }
        return if (heaviest == NONE) leastLoaded else heaviest
    }

    private fun ceilingOf(
        value: Int,
        divisor: Int,
    ): Int = -Math.floorDiv(-value, divisor)

    private companion object {
        const val NONE = -1
    }
}
