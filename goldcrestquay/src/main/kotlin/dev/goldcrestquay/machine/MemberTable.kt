package dev.goldcrestquay.machine

import dev.goldcrestquay.link.Clock
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What is believed of an entry VM; later entries win over earlier ones of the same incarnation and sequence. */
public enum class MemberStatus {
    /** It answers. */
    ALIVE,

    /** It did not answer and may refute that. */
    SUSPECT,

    /** It finishes what it holds and takes no new callers. */
    LEAVING,

    /** It is gone. */
    DEAD,
}

/**
 * One entry VM as members tell each other.
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
    /** The identity of this start of the VM. */
    public val identity: String get() = "$name~$incarnation"

    /** Whether this record says something newer than [other]. */
    public fun supersedes(other: MemberRecord): Boolean =
        compareValuesBy(this, other, { it.incarnation }, { it.sequence }, { it.status }) > 0
}

/**
 * One line of the platform's VM list.
 *
 * @property leaving whether the platform is about to take the VM away.
 */
public data class ListedVm(
    val name: String,
    val dataCentre: String,
    val peerAddress: String,
    val leaving: Boolean = false,
)

/**
 * The constants of membership.
 *
 * @property period the time between two rounds of exchanges.
 * @property suspicion how long a suspect may take to refute.
 * @property forgetAfter how long the dead are remembered, so that late news does not revive them.
 * @property updatesPerMessage the most member records in one message.
 * @property transmissions how often each piece of news is passed on.
 */
public data class MembershipSettings(
    val period: Duration = 1.seconds,
    val suspicion: Duration = 3.seconds,
    val forgetAfter: Duration = 600.seconds,
    val updatesPerMessage: Int = 12,
    val transmissions: Int = 8,
)

/**
 * The entry VMs this one knows, kept true by direct exchanges; the VM list only gives addresses to try.
 *
 * Its cost per period does not grow with the fleet: a few peers, a bounded number of records in each message.
 */
public class MemberTable(
    self: MemberRecord,
    private val settings: MembershipSettings,
    private val clock: Clock,
    private val random: Random,
) {
    private class Entry(
        var record: MemberRecord,
        var since: Duration,
        var transmissionsLeft: Int,
    )

    private val lock = ReentrantLock()
    private val entries = linkedMapOf<String, Entry>()
    private var listed = emptyList<ListedVm>()
    private var round = 0
    private var changed = false

    /** This entry VM's own record. */
    @Volatile
    public var self: MemberRecord = self
        private set

    /** The members that may serve callers, this one included, in the order of their names. */
    @Volatile
    public var alive: List<MemberRecord> = listOf(self)
        private set

    /** Takes in the platform's VM list. */
    public fun listed(vms: List<ListedVm>): Unit = lock.withLock { listed = vms.filter { it.name != self.name } }

    /** All records known, the dead included. */
    public fun all(): List<MemberRecord> = lock.withLock { entries.values.map { it.record } + self }

    /** Says that this VM is about to leave. */
    public fun leave(): Unit =
        lock.withLock {
            self = self.copy(sequence = self.sequence + 1, status = MemberStatus.LEAVING)
            changed = true
            refresh()
        }

    /** The peer addresses to exchange with in this round: own data centre, another one, and now and then one not known as alive. */
    public fun nextPeers(): List<String> =
        lock.withLock {
            round++
            val members = entries.values.map { it.record }.filter { it.status != MemberStatus.DEAD }
            val (near, far) = members.partition { it.dataCentre == self.dataCentre }
            val chosen = listOfNotNull(near.pick()?.peerAddress, far.pick()?.peerAddress)
            val lonely = chosen.isEmpty()
            if (lonely || round % STRANGER_ROUNDS == 0) chosen + listOfNotNull(stranger(members)) else chosen
        }

    /** The records to send with the next message: own first, then the latest news. */
    public fun news(): List<MemberRecord> =
        lock.withLock {
            val fresh = entries.values.filter { it.transmissionsLeft > 0 }.sortedByDescending { it.transmissionsLeft }
            val sent = fresh.take(settings.updatesPerMessage)
            sent.forEach { it.transmissionsLeft-- }
            val filler =
                entries.values
                    .toList()
                    .pick()
                    ?.takeIf { sent.size < settings.updatesPerMessage && it !in sent }
            listOf(self) + sent.map { it.record } + listOfNotNull(filler?.record)
        }

    /** Takes in records from a peer. */
    public fun merge(records: List<MemberRecord>): Unit =
        lock.withLock {
            records.forEach { merge(it) }
            refresh()
        }

    /** Notes that an exchange with [peerAddress] failed; a leaving member that no longer answers has left. */
    public fun failed(peerAddress: String): Unit =
        lock.withLock {
            val entry = entries.values.firstOrNull { it.record.peerAddress == peerAddress } ?: return
            when (entry.record.status) {
                MemberStatus.ALIVE -> set(entry, entry.record.copy(status = MemberStatus.SUSPECT))
                MemberStatus.LEAVING -> set(entry, entry.record.copy(status = MemberStatus.DEAD))
                MemberStatus.SUSPECT, MemberStatus.DEAD -> Unit
            }
            refresh()
        }

    /** Lets suspicions and memories lapse. */
    public fun tick(): Unit =
        lock.withLock {
            val now = clock()
            val silent = setOf(MemberStatus.SUSPECT, MemberStatus.LEAVING)
            entries.values
                .filter { it.record.status in silent && now - it.since > lapseOf(it.record.status) }
                .forEach { set(it, it.record.copy(status = MemberStatus.DEAD)) }
            entries.values.removeIf { it.record.status == MemberStatus.DEAD && now - it.since > settings.forgetAfter }
            refresh()
        }

    private fun lapseOf(status: MemberStatus): Duration = if (status == MemberStatus.SUSPECT) settings.suspicion else settings.forgetAfter

    private fun merge(record: MemberRecord) {
        if (record.name == self.name) return refute(record)
        val known = entries[record.name]
        when {
            known != null -> if (record.supersedes(known.record)) set(known, record)
            record.status != MemberStatus.DEAD -> add(record)
        }
    }

    private fun refute(record: MemberRecord) {
        val aboutThisStart = record.incarnation == self.incarnation && record.status > self.status
        if (!aboutThisStart || record.sequence < self.sequence) return
        self = self.copy(sequence = record.sequence + 1)
        changed = true
    }

    private fun add(record: MemberRecord) {
        entries[record.name] = Entry(record, clock(), settings.transmissions)
        changed = true
    }

    private fun set(
        entry: Entry,
        record: MemberRecord,
    ) {
        if (entry.record.status != record.status || entry.record.incarnation != record.incarnation) entry.since = clock()
        entry.record = record
        changed = true
        entry.transmissionsLeft = settings.transmissions
    }

    private fun refresh() {
        if (!changed) return
        changed = false
        val others = entries.values.map { it.record }.filter { it.status == MemberStatus.ALIVE || it.status == MemberStatus.SUSPECT }
        val own = listOf(self).filter { it.status == MemberStatus.ALIVE }
        val members = (others + own).sortedBy { it.name }
        if (members != alive) alive = members
    }

    private fun stranger(members: List<MemberRecord>): String? {
        val known = members.mapTo(mutableSetOf()) { it.name }
        return listed.filter { it.name !in known }.pick()?.peerAddress
    }

    private fun <T> List<T>.pick(): T? = if (isEmpty()) null else this[random.nextInt(size)]

    private companion object {
        const val STRANGER_ROUNDS = 4
    }
}
