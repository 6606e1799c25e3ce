package dev.goldcrestquay.machine

import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.contract.Lease
import dev.goldcrestquay.contract.LeaseClaim
import dev.goldcrestquay.link.Clock
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The constants of service leases.
 *
 * @property duration how long a claim lasts, counted by the holder from before its append.
 * @property renewAfter the age at which the holder renews.
 * @property margin what others wait beyond the duration, counted from when they read the claim.
 * @property claimPause the time after which a claim that the log does not show is appended again.
 */
public data class LeaseSettings(
    val duration: Duration = 30.seconds,
    val renewAfter: Duration = 12.seconds,
    val margin: Duration = 1.seconds,
    val claimPause: Duration = 2.seconds,
)

/**
 * The leases of services as one entry VM sees them.
 *
 * The log's order decides who holds a lease. The holder counts its time from before it appended; others count from when they
 * read the claim, which is later, so two entry VMs never hold the same lease at once as long as their clocks run alike.
 */
public class LeaseTable(
    private val identity: String,
    private val settings: LeaseSettings,
    private val clock: Clock,
) {
    private val lock = ReentrantLock()
    private val seenAt = mutableMapOf<String, Pair<Lease, Duration>>()
    private val claimedAt = mutableMapOf<Pair<String, Long>, Duration>()
    private val lastClaim = mutableMapOf<String, Duration>()
    private val heldUntil = mutableMapOf<String, Duration>()

    /** Takes in the leases of [state]. */
    public fun observe(state: EnvironmentState): Unit =
        lock.withLock {
            val now = clock()
            for ((service, lease) in state.leases) {
                val previous = seenAt[service]?.first
                if (previous == lease) continue
                seenAt[service] = lease to now
                heldUntil.remove(service)
                val start = claimedAt[service to (previous?.offset ?: 0L)]
                if (lease.holder == identity && start != null) heldUntil[service] = start + settings.duration
                claimedAt.keys.removeIf { it.first == service }
            }
            seenAt.keys.retainAll(state.leases.keys)
            heldUntil.keys.retainAll(state.leases.keys)
        }

    /** Until when this entry VM holds the lease of [service]; in the past when it does not. */
    public fun heldUntil(service: String): Duration = lock.withLock { heldUntil[service] ?: NEVER }

    /** The claim to append for the [wanted] services, or null when none is due. */
    public fun claim(wanted: Collection<String>): LeaseClaim? =
        lock.withLock {
            val now = clock()
            val due = wanted.filter { isDue(it, now) }
            if (due.isEmpty()) return null
            val replaces = due.associateWith { seenAt[it]?.first?.offset ?: 0L }
            replaces.forEach { (service, offset) -> claimedAt.putIfAbsent(service to offset, now) }
            due.forEach { lastClaim[it] = now }
            LeaseClaim(identity, replaces)
        }

    /** Gives up all leases held; returns the record to append, or null when there are none. */
    public fun release(): LeaseClaim? =
        lock.withLock {
            val held = heldUntil.keys.associateWith { seenAt.getValue(it).first.offset }
            heldUntil.clear()
            if (held.isEmpty()) null else LeaseClaim(NOBODY, held)
        }

    private fun isDue(
        service: String,
        now: Duration,
    ): Boolean {
        val claimed = lastClaim[service]
        if (claimed != null && now - claimed < settings.claimPause) return false
        val (lease, since) = seenAt[service] ?: return true
        val start = heldUntil[service]?.minus(settings.duration)
        return when {
            lease.holder == NOBODY -> true
            start != null -> now - start >= settings.renewAfter
            else -> now - since >= settings.duration + settings.margin
        }
    }

    private companion object {
        const val NOBODY = ""
        val NEVER = -Duration.INFINITE
    }
}
