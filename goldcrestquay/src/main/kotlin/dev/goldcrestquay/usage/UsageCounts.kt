package dev.goldcrestquay.usage

import kotlinx.serialization.Serializable
import java.util.TreeMap
import kotlin.time.Duration

/**
 * What one process has counted in one [window]: the requests of each organisation that targets began to run.
 *
 * @property process the process that counts, as `name/incarnation`.
 * @property counts the whole number of each organisation named; those left out are unchanged since an earlier message.
 */
@Serializable
public data class ProcessUsage(
    val process: String,
    val window: Long,
    val counts: Map<String, Long>,
)

/**
 * The requests that targets began to run, by window, process and organisation: this process's own and those reported by peers.
 *
 * A process's number for an organisation in a window never falls, so the higher of two numbers is the later one, and messages may be
 * lost, repeated and overtaken. Processes that have ended still count. Confined to the entry VM's event loop.
 */
internal class UsageCounts(
    private val process: String,
    private val settings: UsageSettings,
    private val time: TrueTime,
) {
    private class Cell(
        val count: Long,
        val version: Long,
    )

    private val windows = TreeMap<Long, HashMap<String, HashMap<String, Cell>>>()

    /** Rises with each change. */
    var version = 0L
        private set

    /** Counts a request of [organisation] that was sent at [sentAt] of the runtime's clock and began to run. */
    fun record(
        organisation: String,
        sentAt: Duration,
    ) {
        expire()
        val window = settings.windowAt(time.at(sentAt))
        if (!isRetained(window)) return
        val cells = cells(window, process)
        cells[organisation] = Cell((cells[organisation]?.count ?: 0) + 1, ++version)
    }

    /** Adopts the higher numbers of [reports]; windows that are too old, or begin too far in the future, are left out. */
    fun merge(reports: List<ProcessUsage>) {
        expire()
        for (report in reports) {
            if (report.process == process || !isRetained(report.window)) continue
            val cells = cells(report.window, report.process)
            for ((organisation, count) in report.counts) {
                if (count > (cells[organisation]?.count ?: 0)) cells[organisation] = Cell(count, ++version)
            }
        }
    }

    /** The numbers that changed after the version [known], of the processes that [isReported] names. */
    fun changesAfter(
        known: Long,
        isReported: (process: String) -> Boolean,
    ): List<ProcessUsage> {
        expire()
        return windows.flatMap { (window, processes) ->
            processes.filterKeys(isReported).mapNotNull { (process, cells) ->
                val changed = cells.filterValues { it.version > known }.mapValues { it.value.count }
                if (changed.isEmpty()) null else ProcessUsage(process, window, changed)
            }
        }
    }

    /** Whether [window] has ended. */
    fun hasEnded(window: Long): Boolean = window < present()

    /** Whether [process] is the one that counts here. */
    fun isOwn(process: String): Boolean = process == this.process

    /** The sums of all processes in [window], by organisation in alphabetical order. */
    fun totals(window: Long): Map<String, Long> {
        val sums = TreeMap<String, Long>()
        windows[window]?.values?.forEach { cells ->
            cells.forEach { (organisation, cell) -> sums.merge(organisation, cell.count, Long::plus) }
        }
        return sums
    }

    /** How many processes have counted something in [window]. */
    fun processCount(window: Long): Int = windows[window]?.size ?: 0

    private fun cells(
        window: Long,
        process: String,
    ): HashMap<String, Cell> = windows.getOrPut(window) { HashMap() }.getOrPut(process) { HashMap() }

    private fun expire() {
        windows.headMap(present() - UsageSettings.RETAINED_WINDOWS, true).clear()
    }

    private fun isRetained(window: Long): Boolean =
        window > present() - UsageSettings.RETAINED_WINDOWS && window <= present() + WINDOWS_AHEAD

    private fun present(): Long = settings.windowAt(time.now())

    private companion object {
        /** The clocks of peers may be ahead by up to a window. */
        const val WINDOWS_AHEAD = 1
    }
}
