package dev.goldcrestquay.machine

import dev.goldcrestquay.internal.stableHash
import dev.goldcrestquay.link.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The entry VMs on the platform that this one believes to be alive: those that it observes, since their heartbeats arrive directly
 * or are relayed by a peer, and those on the member list of the peer that it follows.
 *
 * The leader receives the heartbeats of all members and adopts no peer's list, so the leader's list is the one that spreads. What a
 * member costs its peers does not grow with the fleet. Confined to the entry VM's event loop. The project's own interface uses
 * [MemberTable].
 */
public class FleetMembers(
    self: FleetMember,
    private val clock: Clock,
) {
    /** The last heartbeat of a member, and the peer address it arrived from: the member's own unless it was relayed. */
    private data class Heartbeat(
        val member: FleetMember,
        val receivedAt: Duration,
        val via: SocketAddress,
    ) {
        val isDirect get() = via == member.peerAddress
    }

    /** The members that a peer observes, and when it last sent a heartbeat. */
    private class Report(
        val members: List<FleetMember>,
        val receivedAt: Duration,
    ) {
        /** Whether the peer observes the same process as [member], whatever it last heard of it. */
        fun names(member: FleetMember): Boolean = members.any { it.name == member.name && it.incarnation == member.incarnation }
    }

    /** The version of the list in which a member last changed; [member] is null once it was removed. */
    private class Entry(
        val member: FleetMember?,
        val version: Long,
    )

    private val heartbeats = HashMap<String, Heartbeat>()
    private val reports = HashMap<SocketAddress, Report>()
    private var listedMembers = HashMap<String, FleetMember>()
    private val entries = HashMap<String, Entry>()
    private var leaving = false

    /** The peer whose member list was adopted last; null when there is none or this entry VM leads. */
    public var listSource: SocketAddress? = null
        private set

    /** This entry VM. */
    public var self: FleetMember = self
        private set

    /** Increases when [alive] changes. */
    public var version: Long = 0
        private set

    /** Increases when the observed members change. */
    public var observedVersion: Long = 0
        private set

    /** All members believed to be alive, this one included. */
    public var alive: List<FleetMember> = emptyList()
        private set

    /**
     * The highest number of members alive at once so far.
     *
     * Budgets of the whole fleet are divided by this number, since members that are not on the list now may still be serving callers.
     */
    public var largestCount: Int = 1
        private set

    /** The latest version of messages and records that all members read; no message may hold what only a later one defines. */
    public val formatVersion: Int get() = alive.minOf { it.formatVersion }

    init {
        refresh()
    }

    /** Marks this entry VM as accepting callers, unless it is leaving. */
    public fun startAccepting() {
        if (!self.accepting && !leaving) changeSelf(self.copy(accepting = true))
    }

    /** Marks this entry VM as leaving: it accepts no more callers. */
    public fun leave() {
        leaving = true
        if (self.accepting) changeSelf(self.copy(accepting = false))
    }

    /** Tells the peers whether this entry VM [reachesTargets]. */
    public fun reportReach(reachesTargets: Boolean) {
        if (self.reachesTargets != reachesTargets) changeSelf(self.copy(reachesTargets = reachesTargets))
    }

    private fun changeSelf(newSelf: FleetMember) {
        self = newSelf
        refresh()
    }

    /** Records a heartbeat of [sender], which relays those of the members that it observes; null means the same ones as last time. */
    public fun recordHeartbeat(
        sender: FleetMember,
        observed: List<FleetMember>? = null,
    ) {
        val address = sender.peerAddress
        val known = heartbeats[sender.name]?.member
        if (known != null && known.incarnation > sender.incarnation) return
        var changed = observe(sender, address)
        val report = observed ?: reports[address]?.members
        if (report != null) {
            if (replaceReport(address, report)) changed = true
            report.forEach { if (observe(it, address)) changed = true }
        }
        if (changed) observedChanged()
    }

    /**
     * Replaces the report of the peer at [address]; returns whether an observed member was removed.
     *
     * A member that the peer no longer observes is removed unless a recent report of another peer names it.
     */
    private fun replaceReport(
        address: SocketAddress,
        members: List<FleetMember>,
    ): Boolean {
        val previous = reports.put(address, Report(members, clock()))?.members
        if (previous == null || previous === members) return false
        val names = members.mapTo(HashSet()) { it.name }
        val missing = previous.filter { it.name !in names && heartbeats[it.name]?.via == address }
        val since = clock() - RECENT_HEARTBEAT_AGE
        val observers = missing.map { member -> reports.entries.firstOrNull { it.value.receivedAt > since && it.value.names(member) }?.key }
        missing.zip(observers).forEach { (member, observer) ->
            if (observer == null) {
                heartbeats.remove(member.name)
            } else {
                heartbeats.computeIfPresent(member.name) { _, heartbeat -> heartbeat.copy(via = observer) }
            }
        }
        return observers.any { it == null }
    }

    /** Whether it is known which members the peer at [address] observes. */
    public fun hasReportFrom(address: SocketAddress): Boolean = address in reports

    /** Records a heartbeat of [member] that arrived from [via]; returns whether the observed members changed. */
    private fun observe(
        member: FleetMember,
        via: SocketAddress,
    ): Boolean {
        if (member.name == self.name) return false
        val known = heartbeats[member.name]
        if (known != null && known.member.incarnation > member.incarnation) return false
        val isDirect = via == member.peerAddress
        if (known != null && known.isDirect && !isDirect && clock() - known.receivedAt < RECENT_HEARTBEAT_AGE) return false
        val merged = if (known == null) member else member.withFormatVersionOf(known.member)
        heartbeats[member.name] = Heartbeat(merged, clock(), via)
        return known?.member != merged
    }

    /** A release that does not know the version passes the member on without it; a process reads the same one as long as it runs. */
    private fun FleetMember.withFormatVersionOf(known: FleetMember): FleetMember =
        if (incarnation == known.incarnation && formatVersion < known.formatVersion) copy(formatVersion = known.formatVersion) else this

    /** The observed members, without those whose last heartbeat arrived from [peer]. */
    public fun observedExceptVia(peer: SocketAddress): List<FleetMember> = heartbeats.values.filter { it.via != peer }.map { it.member }

    /** Adopts the member list of [peer], or its [changes]; changes to a list other than the one adopted last are ignored. */
    public fun applyChanges(
        peer: SocketAddress,
        changes: MemberChanges,
    ) {
        if (!changes.isWhole && peer != listSource) return
        listSource = peer
        val newList = if (changes.isWhole) HashMap() else HashMap(listedMembers)
        changes.present.forEach { newList[it.name] = it }
        changes.removed.forEach { newList.remove(it) }
        newList.remove(self.name)
        if (newList == listedMembers) return
        listedMembers = newList
        refresh()
    }

    /** Makes this entry VM keep its own list as the leader: the members known so far get [MEMBER_TIMEOUT] to send a heartbeat. */
    public fun becomeLeader() {
        listedMembers.values.forEach { heartbeats.putIfAbsent(it.name, Heartbeat(it, clock(), self.peerAddress)) }
        listedMembers = HashMap()
        listSource = null
        observedChanged()
    }

    /** Drops members and reports whose last heartbeat is older than [MEMBER_TIMEOUT]. */
    public fun expire() {
        val oldest = clock() - MEMBER_TIMEOUT
        reports.values.removeIf { it.receivedAt < oldest }
        if (heartbeats.values.removeIf { it.receivedAt < oldest }) observedChanged()
    }

    /** The changes to this list after the version [known]; the whole list when [known] is null. */
    public fun changesAfter(known: Long?): MemberChanges {
        val changed = entries.filterValues { it.version > (known ?: -1) }
        return MemberChanges(
            isWhole = known == null,
            present = changed.values.mapNotNull { it.member },
            removed = changed.filterValues { it.member == null }.keys.toList(),
        )
    }

    /** The peer addresses of all members and [seeds], this entry VM's included, in an order that is the same on every entry VM. */
    public fun candidates(seeds: List<SocketAddress>): List<SocketAddress> =
        (alive.map { it.peerAddress } + seeds)
            .distinct()
            .map { it to stableHash(it.toString()) }
            .sortedBy { it.second }
            .map { it.first }

    private fun observedChanged() {
        observedVersion++
        refresh()
    }

    private fun refresh() {
        val present = HashMap(listedMembers)
        heartbeats.values.forEach { heartbeat ->
            present.merge(heartbeat.member.name, heartbeat.member) { known, other ->
                if (known.incarnation > other.incarnation) known else other
            }
        }
        present[self.name] = self
        val changed = present.filter { (name, member) -> entries[name]?.member != member }
        val removed = entries.filter { (name, entry) -> entry.member != null && name !in present }.keys
        if (changed.isEmpty() && removed.isEmpty()) return
        version++
        changed.forEach { (name, member) -> entries[name] = Entry(member, version) }
        removed.forEach { entries[it] = Entry(null, version) }
        alive = present.values.toList()
        largestCount = maxOf(largestCount, alive.size)
    }

    private companion object {
        /** Members send a heartbeat every half second or a little more; one that misses three counts as dead. */
        val MEMBER_TIMEOUT = 2.seconds

        /** A direct heartbeat younger than two usual intervals takes precedence over a relayed one; older reports of peers do not count. */
        val RECENT_HEARTBEAT_AGE = 1.seconds
    }
}
