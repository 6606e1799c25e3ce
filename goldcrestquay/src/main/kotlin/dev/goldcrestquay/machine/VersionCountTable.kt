package dev.goldcrestquay.machine

import dev.goldcrestquay.move.VersionCount
import dev.goldcrestquay.move.VersionEvidence

/**
 * The answers counted by version during rollouts on the platform, by process; confined to the entry VM's event loop.
 *
 * Joins this entry VM's own [VersionEvidence] and the counts that peers report. Moves have a `MoveEvidenceTable` instead.
 *
 * @param process this entry VM's process, as `name/incarnation`.
 * @param own the answers counted by this entry VM.
 */
internal class VersionCountTable(
    private val process: String,
    private val own: VersionEvidence,
    private val members: FleetMembers,
) {
    private val byProcess = HashMap<String, List<VersionCount>>()

    /** Adopts the counts that a peer reported, by process; they replace the earlier counts of the same processes. */
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
