package dev.goldcrestquay.machine

import dev.goldcrestquay.link.Clock
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Decides when this entry VM writes a snapshot: after enough records or a stale snapshot, at a random time, unless another entry
 * VM writes one first.
 */
internal class SnapshotTimer(
    private val settings: EntrySettings,
    private val clock: Clock,
    private val random: Random,
) {
    private var writeAt: Duration? = null

    fun isDue(environments: EnvironmentTable): Boolean {
        val view = environments.snapshots
        val uncovered = environments.state.offset - view.newestCoveredOffset
        val needed = environments.complete && (uncovered >= settings.snapshotRecordCount || view.isLastNoteStale)
        if (!needed) {
            writeAt = null
            return false
        }
        val now = clock()
        val planned = writeAt ?: (now + settings.snapshotJitter * random.nextDouble()).also { writeAt = it }
        if (now < planned) return false
        writeAt = now + settings.snapshotJitter
        return true
    }
}
