package dev.goldcrestquay.routing

/**
 * How a service's calls are split while a version moves.
 *
 * @property toShare the largest share of calls that [toVersion] may get, from 0 to 1.
 */
public data class VersionShare(
    val fromVersion: String,
    val toVersion: String,
    val toShare: Double,
)

/** Holds the new version's calls at or below its share after every single draw. */
internal class VersionQuota {
    private var total = 0L
    private var moved = 0L
    private var share: VersionShare? = null

    /** Starts counting afresh when [newShare] differs from the share in force. */
    fun share(newShare: VersionShare?) {
        if (newShare == share) return
        share = newShare
        total = 0
        moved = 0
    }

    /** Draws the version of the next call, or null when any version will do. */
    fun draw(): String? {
        val current = share ?: return null
        val allowed = moved + 1 <= current.toShare * (total + 1)
        return if (allowed) current.toVersion else current.fromVersion
    }

    /** Counts a call sent to [version]. */
    fun sent(version: String) {
        val current = share ?: return
        total++
        if (version == current.toVersion) moved++
    }

    /** Whether a call of the other version may go to [version] when its own has no target left. */
    fun allows(version: String): Boolean {
        val current = share ?: return true
        return version != current.toVersion || moved + 1 <= current.toShare * (total + 1)
    }
}
