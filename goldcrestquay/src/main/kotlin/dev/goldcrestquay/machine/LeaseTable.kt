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
 * The settings of service leases.
 *
 * @property duration how long a lease lasts; the holder counts from before it appends its claim.
 * @property renewAfter the age of a lease at which the holder renews it.
 * @property margin how much longer than [duration] other entry VMs wait, counted from when they read the claim.
 * @property claimRetryInterval the time after which a claim that has not appeared on the log is appended again.
 */
public data class LeaseSettings(
    val duration: Duration = 30.seconds,
    val renewAfter: Duration = 12.seconds,
    val margin: Duration = 1.seconds,
    val claimRetryInterval: Duration = 2.seconds,
)

/**
 * The leases of services as one entry VM sees them.
 *
 * The order of claims on the log decides who holds a lease. The holder counts the lease's duration from before it appended the
 * claim. Others count from when they read it, which is later, so two entry VMs never hold the same lease at the same time as
 * long as their clocks run at the same rate.
 */
public class LeaseTable(
    private val identity: String,
    private val settings: LeaseSettings,
    private val clock: Clock,
) {
    private val lock = ReentrantLock()

    /** The lease of each service and when this entry VM first read it. */
    private val observedLeases = mutableMapOf<String, Pair<Lease, Duration>>()

    /** When this entry VM first claimed a service in place of the lease with the given offset. */
    private val firstClaimAt = mutableMapOf<Pair<String, Long>, Duration>()

    /** When this entry VM last claimed each service. */
    private val lastClaimAt = mutableMapOf<String, Duration>()

    /** The time until which this entry VM holds the lease of each service, for those it holds or held. */
    private val heldUntil = mutableMapOf<String, Duration>()

    /** Updates the leases from [state]. */
    public fun observe(state: EnvironmentState): Unit =
        lock.withLock {
            val now = clock()
            for ((service, lease) in state.leases) {
                val previous = observedLeases[service]?.first
                if (previous == lease) continue
                observedLeases[service] = lease to now
                heldUntil.remove(service)
                val start = firstClaimAt[service to (previous?.offset ?: 0L)]
                if (lease.holder == identity && start != null) heldUntil[service] = start + settings.duration
                firstClaimAt.keys.removeIf { it.first == service }
            }
            observedLeases.keys.retainAll(state.leases.keys)
            heldUntil.keys.retainAll(state.leases.keys)
        }

    /** The time on the clock until which this entry VM holds the lease of [service]; in the past when it does not hold it. */
    public fun heldUntil(service: String): Duration = lock.withLock { heldUntil[service] ?: NEVER }

    /** Returns the claim to append for the [wanted] services, or null when none is due for a claim or renewal. */
    public fun claim(wanted: Collection<String>): LeaseClaim? =
        lock.withLock {
            val now = clock()
            val due = wanted.filter { isDue(it, now) }
            if (due.isEmpty()) return null
            val replaces = due.associateWith { observedLeases[it]?.first?.offset ?: 0L }
            replaces.forEach { (service, offset) -> firstClaimAt.putIfAbsent(service to offset, now) }
            due.forEach { lastClaimAt[it] = now }
            LeaseClaim(identity, replaces)
        }

    /** Releases all leases held; returns the record to append, or null when there are none. */
    public fun release(): LeaseClaim? =
        lock.withLock {
            val held = heldUntil.keys.associateWith { observedLeases.getValue(it).first.offset }
            heldUntil.clear()
            if (held.isEmpty()) null else LeaseClaim(NO_HOLDER, held)
        }

    private fun isDue(
        service: String,
        now: Duration,
    ): Boolean {
        val claimed = lastClaimAt[service]
        if (claimed != null && now - claimed < settings.claimRetryInterval) return false
        val (lease, observedAt) = observedLeases[service] ?: return true
        val heldSince = heldUntil[service]?.minus(settings.duration)
        return when {
            lease.holder == NO_HOLDER -> true
            heldSince != null -> now - heldSince >= settings.renewAfter
            else -> now - observedAt >= settings.duration + settings.margin
        }
    }

    private companion object {
        /** The holder of a released lease. */
        const val NO_HOLDER = ""
        val NEVER = -Duration.INFINITE
    }
}
