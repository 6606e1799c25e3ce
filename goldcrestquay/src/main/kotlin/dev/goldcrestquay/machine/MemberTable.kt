package dev.goldcrestquay.machine

import dev.goldcrestquay.link.Clock
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The believed status of an entry VM; of two with the same incarnation and sequence, the one declared later here wins. */
public enum class MemberStatus {
    /** The member answers. */
    ALIVE,

    /** The member did not answer and may still refute the suspicion. */
    SUSPECT,

    /** The member finishes its calls in flight and takes no new callers. */
    LEAVING,

    /** The member has stopped, or has not refuted a suspicion in time. */
    DEAD,
}

/**
 * The record of one entry VM that members exchange.
 *
 * @property incarnation a number that grows with each start of the VM.
 * @property sequence grows when the VM itself refutes a suspicion or changes its status.
 */
public data class MemberRecord(
    val name: String,
    val incarnation: Long,
    val sequence: Int,
    val status: MemberStatus,
    val dataCentre: String,
    val callerAddress: String,
    val peerAddress: String,
) {
    /** Identifies this incarnation of the VM among all entry VMs. */
    public val identity: String get() = "$name~$incarnation"

    /** Whether this record is newer than [other]. */
    public fun supersedes(other: MemberRecord): Boolean =
        compareValuesBy(this, other, { it.incarnation }, { it.sequence }, { it.status }) > 0
}

/**
 * One entry of the platform's VM list.
 *
 * @property leaving whether the platform is about to remove the VM.
 */
public data class ListedVm(
    val name: String,
    val dataCentre: String,
    val peerAddress: String,
    val leaving: Boolean = false,
)

/**
 * The settings of membership.
 *
 * @property period the time between two rounds of exchanges.
 * @property suspicionTimeout the time that a suspect has to refute the suspicion; after it the member counts as dead.
 * @property forgetAfter how long a member may be leaving before it counts as dead, and how long dead members are kept, so that
 * late records do not revive them.
 * @property updatesPerMessage the most records of other members in one message.
 * @property transmissionsPerUpdate how many times each update is passed on.
 */
public data class MembershipSettings(
    val period: Duration = 1.seconds,
    val suspicionTimeout: Duration = 3.seconds,
    val forgetAfter: Duration = 600.seconds,
    val updatesPerMessage: Int = 12,
    val transmissionsPerUpdate: Int = 8,
)

/**
 * The entry VMs that this one knows, kept up to date by direct exchanges; the VM list only gives addresses to try.
 *
 * The cost per period does not grow with the fleet: each round has a few peers, each message a bounded number of records.
 *
 * Members gossip as equals and refute suspicions. [FleetMembers] is the member list on the platform, which the leader decides.
 */
public class MemberTable(
    self: MemberRecord,
    private val settings: MembershipSettings,
    private val clock: Clock,
    private val random: Random,
) {
    private class Entry(
        var record: MemberRecord,
        var statusSince: Duration,
        var transmissionsLeft: Int,
    )

    private val lock = ReentrantLock()
    private val entries = linkedMapOf<String, Entry>()
    private var listedVms = emptyList<ListedVm>()
    private var round = 0
    private var changed = false

    /** This entry VM's own record. */
    @Volatile
    public var self: MemberRecord = self
        private set

    /** The members that may serve callers, sorted by name: live and suspect ones, and this one unless it is leaving. */
    @Volatile
    public var alive: List<MemberRecord> = listOf(self)
        private set

    /** Replaces the platform's VM list, without this entry VM. */
    public fun updateVmList(vms: List<ListedVm>): Unit = lock.withLock { listedVms = vms.filter { it.name != self.name } }

    /** All known records, this entry VM and dead members included. */
    public fun all(): List<MemberRecord> = lock.withLock { entries.values.map { it.record } + self }

    /** Marks this entry VM as leaving. */
    public fun leave(): Unit =
        lock.withLock {
            self = self.copy(sequence = self.sequence + 1, status = MemberStatus.LEAVING)
            changed = true
            refresh()
        }

    /**
     * Chooses the peer addresses to exchange with in the next round: a random member of the own data centre and one of another.
     *
     * Every [UNKNOWN_PEER_ROUNDS] rounds, and when there is no such member, adds a VM of the VM list that is unknown or dead.
     */
    public fun nextPeers(): List<String> =
        lock.withLock {
            round++
            val members = entries.values.map { it.record }.filter { it.status != MemberStatus.DEAD }
            val (near, far) = members.partition { it.dataCentre == self.dataCentre }
            val chosen = listOfNotNull(near.pickRandom()?.peerAddress, far.pickRandom()?.peerAddress)
            val hasNoPeer = chosen.isEmpty()
            if (hasNoPeer || round % UNKNOWN_PEER_ROUNDS == 0) chosen + listOfNotNull(unknownListedPeer(members)) else chosen
        }

    /** The records to send with the next message: the own one, then the updates passed on least, then a random one if there is room. */
    public fun recordsToSend(): List<MemberRecord> =
        lock.withLock {
            val pending = entries.values.filter { it.transmissionsLeft > 0 }.sortedByDescending { it.transmissionsLeft }
            val sent = pending.take(settings.updatesPerMessage)
            sent.forEach { it.transmissionsLeft-- }
            val extra =
                entries.values
                    .toList()
                    .pickRandom()
                    ?.takeIf { sent.size < settings.updatesPerMessage && it !in sent }
            listOf(self) + sent.map { it.record } + listOfNotNull(extra?.record)
        }

    /** Merges records from a peer. */
    public fun merge(records: List<MemberRecord>): Unit =
        lock.withLock {
            records.forEach { merge(it) }
            refresh()
        }

    /** Records that an exchange with [peerAddress] failed: a live member becomes suspect, a leaving one dead. */
    public fun recordFailure(peerAddress: String): Unit =
        lock.withLock {
            val entry = entries.values.firstOrNull { it.record.peerAddress == peerAddress } ?: return
            when (entry.record.status) {
                MemberStatus.ALIVE -> replace(entry, entry.record.copy(status = MemberStatus.SUSPECT))
                MemberStatus.LEAVING -> replace(entry, entry.record.copy(status = MemberStatus.DEAD))
                MemberStatus.SUSPECT, MemberStatus.DEAD -> Unit
            }
            refresh()
        }

    /** Declares overdue suspect and leaving members dead, and removes dead members after [MembershipSettings.forgetAfter]. */
    public fun expire(): Unit =
        lock.withLock {
            val now = clock()
            val expiring = setOf(MemberStatus.SUSPECT, MemberStatus.LEAVING)
            entries.values
                .filter { it.record.status in expiring && now - it.statusSince > timeoutOf(it.record.status) }
                .forEach { replace(it, it.record.copy(status = MemberStatus.DEAD)) }
            entries.values.removeIf { it.record.status == MemberStatus.DEAD && now - it.statusSince > settings.forgetAfter }
            refresh()
        }

    private fun timeoutOf(status: MemberStatus): Duration =
        if (status == MemberStatus.SUSPECT) settings.suspicionTimeout else settings.forgetAfter

    private fun merge(record: MemberRecord) {
        if (record.name == self.name) return refute(record)
        val known = entries[record.name]
        when {
            known != null -> if (record.supersedes(known.record)) replace(known, record)
            record.status != MemberStatus.DEAD -> add(record)
        }
    }

    /** Refutes a report that this incarnation is suspect, leaving or dead: raises the own sequence above that of the report. */
    private fun refute(record: MemberRecord) {
        val aboutThisStart = record.incarnation == self.incarnation && record.status > self.status
        if (!aboutThisStart || record.sequence < self.sequence) return
        self = self.copy(sequence = record.sequence + 1)
        changed = true
    }

    private fun add(record: MemberRecord) {
        entries[record.name] = Entry(record, clock(), settings.transmissionsPerUpdate)
        changed = true
    }

    private fun replace(
        entry: Entry,
        record: MemberRecord,
    ) {
        if (entry.record.status != record.status || entry.record.incarnation != record.incarnation) entry.statusSince = clock()
        entry.record = record
        changed = true
        entry.transmissionsLeft = settings.transmissionsPerUpdate
    }

    private fun refresh() {
        if (!changed) return
        changed = false
        val others = entries.values.map { it.record }.filter { it.status == MemberStatus.ALIVE || it.status == MemberStatus.SUSPECT }
        val own = listOf(self).filter { it.status == MemberStatus.ALIVE }
        val members = (others + own).sortedBy { it.name }
        if (members != alive) alive = members
    }

    private fun unknownListedPeer(members: List<MemberRecord>): String? {
        val known = members.mapTo(mutableSetOf()) { it.name }
        return listedVms.filter { it.name !in known }.pickRandom()?.peerAddress
    }

    private fun <T> List<T>.pickRandom(): T? = if (isEmpty()) null else this[random.nextInt(size)]

    private companion object {
        /** The number of rounds after which a VM that is not a live member is tried again. */
        const val UNKNOWN_PEER_ROUNDS = 4
    }
}
