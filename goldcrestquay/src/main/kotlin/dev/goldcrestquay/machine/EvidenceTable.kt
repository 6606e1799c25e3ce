package dev.goldcrestquay.machine

import dev.goldcrestquay.move.VersionCount
import dev.goldcrestquay.move.VersionEvidence

/** What this entry VM and those that it hears saw of versions on the move, by process; confined to its event loop. */
internal class EvidenceTable(
    private val process: String,
    private val own: VersionEvidence,
    private val members: FleetMembers,
) {
    private val byProcess = HashMap<String, List<VersionCount>>()

    /** Takes over what a peer told. */
    fun heard(evidence: Map<String, List<VersionCount>>) {
        byProcess += evidence
    }

    /** What the living processes saw of [services]; a restarted process begins anew. */
    fun of(services: Set<String>): Map<String, List<VersionCount>> {
        if (services.isEmpty()) return emptyMap()
        byProcess.keys.retainAll(members.alive.mapTo(HashSet()) { "${it.name}/${it.incarnation}" })
        return byProcess + (process to own.countsOf(services))
    }
}
