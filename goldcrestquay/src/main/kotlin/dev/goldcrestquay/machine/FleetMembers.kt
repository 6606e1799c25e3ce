package dev.goldcrestquay.machine

import dev.goldcrestquay.internal.stableHash
import dev.goldcrestquay.link.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The entry VMs that this one believes to be alive: those it hears, directly or through a peer that hears them, and those that
 * the peer it follows lists.
 *
 * The reader of the store hears of every member and lists none, so its list is the one that spreads. A member costs its peers
 * the same in any fleet. Confined to the entry VM's event loop.
 */
public class FleetMembers(
    self: FleetMember,
    private val clock: Clock,
) {
    private data class Heard(
        val member: FleetMember,
        val at: Duration,
        val through: SocketAddress,
    ) {
        val isDirect get() = through == member.peerAddress
    }

    /** Whom a peer hears, and when it last spoke. */
    private class Report(
        val members: List<FleetMember>,
        val at: Duration,
    )

    private class Entry(
        val member: FleetMember?,
        val version: Long,
    )

    private val heard = HashMap<String, Heard>()
    private val reports = HashMap<SocketAddress, Report>()
    private var listed = HashMap<String, FleetMember>()
    private val entries = HashMap<String, Entry>()
    private var leaving = false

    /** The peer whose list was taken over last, or null. */
    public var listedBy: SocketAddress? = null
        private set

    /** This entry VM. */
    public var self: FleetMember = self
        private set

    /** Increases when [alive] changes. */
    public var version: Long = 0
        private set

    /** Increases when the members heard change. */
    public var heardVersion: Long = 0
        private set

    /** All members believed to be alive, this one included. */
    public var alive: List<FleetMember> = emptyList()
        private set

    /** The most members seen at once; budgets are shared by it, since members may be out of sight and still at work. */
    public var largestCount: Int = 1
        private set

    init {
        refresh()
    }

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
        refresh()
    }

    /** Notes that [sender] has just spoken, and that it hears [others]; null means the same as last time. */
    public fun heard(
        sender: FleetMember,
        others: List<FleetMember>? = null,
    ) {
        val address = sender.peerAddress
        val known = heard[sender.name]?.member
        if (known != null && known.incarnation > sender.incarnation) return
        var changed = note(sender, address)
        val report = others ?: reports[address]?.members
        if (report != null) {
            if (take(address, report)) changed = true
            report.forEach { if (note(it, address)) changed = true }
        }
        if (changed) heardChanged()
    }

    /** Takes over whom the peer at [address] hears; whoever it no longer hears, and nobody else does, is gone. */
    private fun take(
        address: SocketAddress,
        members: List<FleetMember>,
    ): Boolean {
        val previous = reports.put(address, Report(members, clock()))?.members
        if (previous == null || previous === members) return false
        val names = members.mapTo(HashSet()) { it.name }
        val missing = previous.filter { it.name !in names && heard[it.name]?.through == address }
        val since = clock() - RECENT
        val hearers = missing.map { member -> reports.entries.firstOrNull { it.value.at > since && member in it.value.members }?.key }
        missing.zip(hearers).forEach { (member, hearer) ->
            if (hearer ==
                null
            ) {
                heard.remove(member.name)
            } else {
                heard.computeIfPresent(member.name) { _, entry -> entry.copy(through = hearer) }
            }
        }
        return hearers.any { it == null }
    }

    /** Whether the members that the peer at [address] hears are known. */
    public fun knowsWhoIsHeardBy(address: SocketAddress): Boolean = address in reports

    private fun note(
        member: FleetMember,
        through: SocketAddress,
    ): Boolean {
        if (member.name == self.name) return false
        val known = heard[member.name]
        if (known != null && known.member.incarnation > member.incarnation) return false
        val isDirect = through == member.peerAddress
        if (known != null && known.isDirect && !isDirect && clock() - known.at < RECENT) return false
        heard[member.name] = Heard(member, clock(), through)
        return known?.member != member
    }

    /** The members heard, without those heard through [peer] itself. */
    public fun heardBesides(peer: SocketAddress): List<FleetMember> = heard.values.filter { it.through != peer }.map { it.member }

    /** Takes over what changed in the list of [peer]; changes of another peer's list than the last do not fit. */
    public fun follow(
        peer: SocketAddress,
        changes: MemberChanges,
    ) {
        if (!changes.isWhole && peer != listedBy) return
        listedBy = peer
        val newList = if (changes.isWhole) HashMap() else HashMap(listed)
        changes.present.forEach { newList[it.name] = it }
        changes.gone.forEach { newList.remove(it) }
        newList.remove(self.name)
        if (newList == listed) return
        listed = newList
        refresh()
    }

    /** Begins to keep the list itself: those known so far get [SILENCE] to speak. */
    public fun lead() {
        listed.values.forEach { heard.putIfAbsent(it.name, Heard(it, clock(), self.peerAddress)) }
        listed = HashMap()
        listedBy = null
        heardChanged()
    }

    /** Drops members that have been silent too long. */
    public fun expire() {
        val oldest = clock() - SILENCE
        reports.values.removeIf { it.at < oldest }
        if (heard.values.removeIf { it.at < oldest }) heardChanged()
    }

    /** What changed after [known], a version of this list; everything when that is null. */
    public fun changesAfter(known: Long?): MemberChanges {
        val changed = entries.filterValues { it.version > (known ?: -1) }
        return MemberChanges(
            isWhole = known == null,
            present = changed.values.mapNotNull { it.member },
            gone = changed.filterValues { it.member == null }.keys.toList(),
        )
    }

    /** All peer addresses that may be asked, in an order that is the same on every entry VM; includes this one's. */
    public fun candidates(seeds: List<SocketAddress>): List<SocketAddress> =
        (alive.map { it.peerAddress } + seeds).distinct().sortedBy { stableHash(it.toString()) }

    private fun heardChanged() {
        heardVersion++
        refresh()
    }

    private fun refresh() {
        val present = HashMap(listed)
        heard.values.forEach { entry ->
            present.merge(entry.member.name, entry.member) { known, other -> if (known.incarnation > other.incarnation) known else other }
        }
        present[self.name] = self
        val changed = present.filter { (name, member) -> entries[name]?.member != member }
        val gone = entries.filter { (name, entry) -> entry.member != null && name !in present }.keys
        if (changed.isEmpty() && gone.isEmpty()) return
        version++
        changed.forEach { (name, member) -> entries[name] = Entry(member, version) }
        gone.forEach { entries[it] = Entry(null, version) }
        alive = present.values.toList()
        largestCount = maxOf(largestCount, alive.size)
    }

    private companion object {
        /** Members speak every half second or a little more; three misses make one silent. */
        val SILENCE = 2.seconds

        /** What was heard within this time, two usual pauses, goes before what is older or comes through another. */
        val RECENT = 1.seconds
    }
}
