package dev.goldcrestquay.machine

import dev.goldcrestquay.move.VersionCount
import dev.goldcrestquay.move.VersionEvidence

/** Calls counted by version during rollouts, by process: this entry VM's own and those reported to it; confined to its event loop. */
internal class VersionCountTable(
    private val process: String,
    private val own: VersionEvidence,
    private val members: FleetMembers,
) {
    private val byProcess = HashMap<String, List<VersionCount>>()

    /** Adopts the counts that a peer reported, each in place of the same process's earlier ones. */
    fun merge(counts: Map<String, List<VersionCount>>) {
        byProcess += counts
    }

    /** The counts of [services] by the processes that are alive; a restarted process starts from zero. */
    fun countsOf(services: Set<String>): Map<String, List<VersionCount>> {
        if (services.isEmpty()) return emptyMap()
        byProcess.keys.retainAll(members.alive.mapTo(HashSet()) { "${it.name}/${it.incarnation}" })
        return byProcess + (process to own.countsOf(services))
    }
}
