package dev.goldcrestquay.usage

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.machine.SocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tells peers what changed in the [UsageCounts] since they were told last; confined to the entry VM's event loop. */
public class UsageFeed internal constructor(
    private val counts: UsageCounts,
    private val clock: Clock,
) {
    /** The numbers up to the version [through] that a peer has not been told. */
    internal class Report(
        val usage: List<ProcessUsage>,
        val through: Long,
        val ownOnly: Boolean,
    )

    private data class Receiver(
        val peer: SocketAddress,
        val ownOnly: Boolean,
    )

    /** How far the [process] of a receiver has been told. */
    private class Progress(
        val process: String,
        val version: Long,
    )

    private val progress = HashMap<Receiver, Progress>()
    private val reportedAt = HashMap<SocketAddress, Duration>()

    /** Adopts what a peer reported. */
    internal fun merge(usage: List<ProcessUsage>): Unit = counts.merge(usage)

    /**
     * What to tell [peer] now, this process's own numbers only if [ownOnly]; null when there is nothing.
     *
     * Numbers of the present window alone are told only [REPORT_INTERVAL] after the last time, those of ended windows at once.
     */
    internal fun reportTo(
        peer: SocketAddress,
        ownOnly: Boolean,
    ): Report? {
        val known = progress[Receiver(peer, ownOnly)]
        val usage = counts.changesAfter(known?.version ?: 0) { if (ownOnly) counts.isOwn(it) else it != known?.process }
        val isTooSoon = clock() - (reportedAt[peer] ?: -Duration.INFINITE) < REPORT_INTERVAL
        if (usage.isEmpty() || isTooSoon && usage.none { counts.hasEnded(it.window) }) return null
        reportedAt[peer] = clock()
        return Report(usage, counts.version, ownOnly)
    }

    /** Records that [process] at [peer] has received [report]; one that has just started lacks what an earlier one was told. */
    internal fun recordDelivery(
        peer: SocketAddress,
        process: String,
        report: Report,
    ) {
        val receiver = Receiver(peer, report.ownOnly)
        val known = progress[receiver]
        progress[receiver] =
            when {
                known == null || known.process == process -> Progress(process, maxOf(report.through, known?.version ?: 0))
                else -> Progress(process, 0)
            }
    }

    /** Lets the next report to each peer follow without a pause, since this process is about to end. */
    public fun flush(): Unit = reportedAt.clear()

    internal companion object {
        /** The shortest time between two reports to one peer: a process that is killed takes what it counted in this time. */
        val REPORT_INTERVAL = 1.seconds
    }
}
