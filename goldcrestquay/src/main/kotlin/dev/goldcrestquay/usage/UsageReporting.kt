package dev.goldcrestquay.usage

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.WallClock
import dev.goldcrestquay.machine.FleetMembers
import kotlin.time.Duration

/** Counts the requests of each organisation on this entry VM, and reports those of the whole fleet while this one leads it. */
public class UsageReporting(
    settings: UsageSettings,
    links: UsageLinks,
    members: FleetMembers,
    isLeader: () -> Boolean,
    clock: Clock,
    wallClock: WallClock,
    report: (UsageEvent) -> Unit,
) {
    private val process = "${members.self.name}/${members.self.incarnation}"
    private val time = TrueTime(clock, wallClock) { report(UsageEvent.ClockJumped(it)) }
    private val counts = UsageCounts(process, settings, time)
    private val role = UsageRole(members.self.name, process, isLeader) { members.alive.minOf { it.incarnation } }
    private val duty = UsageDuty(role, settings, links, counts, time, clock, report)

    /** Passes the counts on between entry VMs. */
    public val feed: UsageFeed = UsageFeed(counts, clock)

    /** Counts a request of [organisation] that was sent at [sentAt] and that a target began to run. */
    public fun recordRun(
        organisation: String,
        sentAt: Duration,
    ): Unit = counts.record(organisation, sentAt)

    /** Holds the duty whenever this entry VM leads, until cancelled. */
    public suspend fun run(): Unit = duty.run()
}
