package dev.goldcrestquay.machine

import dev.goldcrestquay.internal.stableHash
import dev.goldcrestquay.link.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The entry VMs that this one believes to be alive.
 *
 * The reader of the store hears every member directly and its list is the one that others follow, so that the cost of
 * membership for a member does not grow with the fleet. Confined to the entry VM's event loop.
 */
public class FleetMembers(
    self: FleetMember,
    private val clock: Clock,
) {
    private class Heard(
        val member: FleetMember,
        var at: Duration,
    )

    private val heard = HashMap<String, Heard>()
    private var latestList = listOf<FleetMember>()

    /** This entry VM. */
    public var self: FleetMember = self
        private set

    /** Increases when the list changes. */
    public var version: Long = 1
        private set

    /** All members believed to be alive, this one included. */
    public val alive: List<FleetMember> get() = latestList.filter { it.name != self.name } + self

    /** The most members seen at once; budgets are shared by it, since members may be out of sight and still at work. */
    public var largestCount: Int = 1
        private set

    private var leaving = false

    /** Notes that this entry VM can serve callers from now on, unless it is leaving. */
    public fun accept() {
        if (!self.accepting && !leaving) change(self.copy(accepting = true))
    }

    /** Notes that this entry VM takes no more callers. */
    public fun leave() {
        leaving = true
        if (self.accepting) change(self.copy(accepting = false))
    }

    private fun change(newSelf: FleetMember) {
        self = newSelf
        version++
    }

    /** Notes that [member] has just spoken to this entry VM. */
    public fun heard(member: FleetMember) {
        val known = heard[member.name]
        if (known != null && known.member.incarnation > member.incarnation) return
        heard[member.name] = Heard(member, clock())
        if (known?.member != member) refresh()
    }

    /** Takes over the reader's list. */
    public fun follow(members: List<FleetMember>) {
        if (latestList.toSet() == members.toSet()) return
        latestList = members
        largestCount = maxOf(largestCount, alive.size)
        version++
    }

    /** Begins to keep the list itself: those known so far get [SILENCE] to speak. */
    public fun lead() {
        latestList.filter { it.name != self.name }.forEach { heard.putIfAbsent(it.name, Heard(it, clock())) }
        refresh()
    }

    /** Drops members that have been silent too long; for the reader only. */
    public fun expire() {
        val oldest = clock() - SILENCE
        if (heard.values.removeIf { it.at < oldest }) refresh()
    }

    /** All peer addresses that may be asked, in an order that is the same on every entry VM; includes this one's. */
    public fun candidates(seeds: List<SocketAddress>): List<SocketAddress> =
        (alive.map { it.peerAddress } + heard.values.map { it.member.peerAddress } + seeds)
            .distinct()
            .sortedBy { stableHash(it.toString()) }

    private fun refresh() {
        latestList = heard.values.map { it.member }.filter { it.name != self.name } + self
        largestCount = maxOf(largestCount, alive.size)
        version++
    }

    private companion object {
        /** Members speak at least every half second; three misses and a round trip make one silent. */
        val SILENCE = 2.seconds
    }
}
