package dev.goldcrestquay.routing

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.machine.SocketAddress
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * What an entry VM knows about a request that may end the targets that run it, as entry VMs send it to their peers.
 *
 * Of two suspicions of one request, the one with more [clearances] holds, and of these the one with more [crashes].
 *
 * @property fingerprint identifies what is asked for; see [ForwardRequest.fingerprint].
 * @property crashes how many targets ended under the request one after the other.
 * @property clearances how often a target has answered the request after a crash.
 * @property ageMilliseconds the time since the last change.
 */
@Serializable
public data class CrashSuspicion(
    val fingerprint: Long,
    val crashes: Int,
    val clearances: Int,
    val ageMilliseconds: Long,
)

/**
 * The requests under which targets ended, known to all entry VMs; a request that ended [MAXIMUM_CRASHES] targets is blocked.
 *
 * A crash counts only if the request was sent knowing of those before: targets that end together while they run the same popular
 * request are one crash. An answer clears the request, since one that ends its targets never gets any.
 *
 * Confined to the entry VM's event loop.
 */
public class CrashTable(
    private val clock: Clock,
) {
    /** The peer in [via] sent the last change, or null when this entry VM saw it. */
    private class Entry(
        val crashes: Int,
        val clearances: Int,
        val changedAt: Duration,
        val version: Long,
        val via: SocketAddress?,
    )

    private val entries = LinkedHashMap<Long, Entry>()

    /** Increases with every change. */
    public var version: Long = 0
        private set

    /** Is called when this entry VM has seen a crash or an answer that its peers do not know of. */
    public var onOwnChange: () -> Unit = { }

    /** Whether no request is suspected, so that no fingerprint needs to be computed. */
    public val isEmpty: Boolean get() = entries.isEmpty()

    /** How many targets have ended under the request with this [fingerprint]. */
    public fun crashes(fingerprint: Long): Int = entries[fingerprint]?.crashes ?: 0

    /** How long the request with this [fingerprint] is still blocked, or null when it may be sent. */
    public fun blockedFor(fingerprint: Long): Duration? {
        val entry = entries[fingerprint]?.takeIf { it.crashes >= MAXIMUM_CRASHES } ?: return null
        return (entry.changedAt + LIFETIME - clock()).takeIf { it > Duration.ZERO }
    }

    /**
     * Records that a target ended under a request that was sent when [crashesBefore] earlier crashes were known.
     *
     * Does not count when another crash, or an answer, has become known since.
     */
    public fun recordCrash(
        fingerprint: Long,
        crashesBefore: Int,
    ) {
        val known = entries[fingerprint]
        if ((known?.crashes ?: 0) != crashesBefore) return
        put(fingerprint, crashesBefore + 1, known?.clearances ?: 0, clock(), null)
        onOwnChange()
    }

    /** Records that a target answered the request. */
    public fun recordAnswer(fingerprint: Long) {
        val known = entries[fingerprint]?.takeIf { it.crashes > 0 } ?: return
        put(fingerprint, 0, known.clearances + 1, clock(), null)
        onOwnChange()
    }

    /** Adopts what the peer at [via] knows; returns whether anything was new. */
    public fun merge(
        suspicions: List<CrashSuspicion>,
        via: SocketAddress,
    ): Boolean {
        val before = version
        for (suspicion in suspicions) {
            val changedAt = clock() - suspicion.ageMilliseconds.milliseconds
            if (clock() - changedAt >= LIFETIME || !isNews(suspicion)) continue
            put(suspicion.fingerprint, suspicion.crashes, suspicion.clearances, changedAt, via)
        }
        return version > before
    }

    private fun isNews(suspicion: CrashSuspicion): Boolean {
        val known = entries[suspicion.fingerprint] ?: return true
        if (suspicion.clearances != known.clearances) return suspicion.clearances > known.clearances
        return suspicion.crashes > known.crashes
    }

    /** What changed after the version [known], oldest change first, without what the peer [except] sent. */
    public fun changesAfter(
        known: Long,
        except: SocketAddress? = null,
    ): List<CrashSuspicion> {
        if (known >= version) return emptyList()
        return entries
            .filterValues { it.version > known && (except == null || it.via != except) }
            .map { (fingerprint, entry) ->
                CrashSuspicion(fingerprint, entry.crashes, entry.clearances, (clock() - entry.changedAt).inWholeMilliseconds)
            }
    }

    private fun put(
        fingerprint: Long,
        crashes: Int,
        clearances: Int,
        changedAt: Duration,
        via: SocketAddress?,
    ) {
        entries.remove(fingerprint)
        entries[fingerprint] = Entry(crashes, clearances, changedAt, ++version, via)
        if (entries.size > CAPACITY) entries.remove(entries.keys.first())
    }

    /** Drops the suspicions that have not changed for [LIFETIME]. */
    public fun expire() {
        val oldest = clock() - LIFETIME
        entries.values.removeIf { it.changedAt <= oldest }
    }

    private companion object {
        /** The crashes in a row after which a request is blocked. */
        const val MAXIMUM_CRASHES = 3

        /** How long a suspicion lasts after its last change; then a request that was blocked may be sent again. */
        val LIFETIME = 5.minutes

        /** The most requests that are suspected at once; the oldest suspicion is dropped. */
        const val CAPACITY = 512
    }
}
