package dev.goldcrestquay.routing

/**
 * The split of a service's calls between two versions during a move.
 *
 * @property toShare the maximum share of calls that [toVersion] may get, from 0 to 1.
 */
public data class VersionShare(
    val fromVersion: String,
    val toVersion: String,
    val toShare: Double,
)

/** Selects versions such that the new version's share of all calls is never exceeded, not even by the first call. */
internal class VersionQuota {
    private var totalCalls = 0L
    private var newVersionCalls = 0L
    private var share: VersionShare? = null

    /** Sets the share in force; counting restarts if [newShare] differs from the previous one. */
    fun updateShare(newShare: VersionShare?) {
        if (newShare == share) return
        share = newShare
        totalCalls = 0
        newVersionCalls = 0
    }

    /** Returns the version of the next call, or null if any version may take it. */
    fun selectVersion(): String? {
        val current = share ?: return null
        val allowed = newVersionCalls + 1 <= current.toShare * (totalCalls + 1)
        return if (allowed) current.toVersion else current.fromVersion
    }

    /** Records a call sent to [version]. */
    fun recordSend(version: String) {
        val current = share ?: return
        totalCalls++
        if (version == current.toVersion) newVersionCalls++
    }

    /** Returns whether a call may go to [version] when the version selected for it has no usable target. */
    fun allows(version: String): Boolean {
        val current = share ?: return true
        return version != current.toVersion || newVersionCalls + 1 <= current.toShare * (totalCalls + 1)
    }
}
