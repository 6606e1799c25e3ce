package dev.goldcrestquay.machine

import dev.goldcrestquay.link.Clock
import kotlin.random.Random
import kotlin.time.Duration

/** Says when this entry VM writes a snapshot: after enough records, at a random time, unless another VM wrote one first. */
internal class SnapshotTimer(
    private val settings: EntrySettings,
    private val clock: Clock,
    private val random: Random,
) {
    private var writeAt: Duration? = null

    fun isDue(environments: EnvironmentTable): Boolean {
        val view = environments.snapshots
        val uncovered = environments.state.offset - view.newestCovered
        val needed = environments.complete && (uncovered >= settings.snapshotEvery || view.staleSeen)
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
