package dev.goldcrestquay.machine

import dev.goldcrestquay.link.Clock
import kotlin.time.Duration

/** What an entry VM knows about its peers as sources of records; confined to its event loop. */
internal class PeerTable(
    private val clock: Clock,
) {
    /**
     * How far a peer's records were replicated, and what was reported to it.
     *
     * @property observedVersion the [version][FleetMembers.observedVersion] of the members reported to the peer.
     * @property crashesVersion the version of the crash table reported to the peer.
     */
    class Progress(
        val position: ReplicationPosition,
        val observedVersion: Long,
        val crashesVersion: Long,
    )

    private val excludedUntil = HashMap<SocketAddress, Duration>()
    private val storeUnavailableUntil = HashMap<SocketAddress, Duration>()
    private val waitedSince = HashMap<SocketAddress, Duration>()
    private val progress = HashMap<SocketAddress, Progress>()

    fun progress(peer: SocketAddress): Progress? = progress[peer]

    fun recordProgress(
        peer: SocketAddress,
        newProgress: Progress,
    ) {
        progress[peer] = newProgress
    }

    /** Whether [peer] is not to be asked for now, since it did not answer or had outdated records. */
    fun isExcluded(peer: SocketAddress): Boolean = clock() < (excludedUntil[peer] ?: Duration.ZERO)

    fun exclude(
        peer: SocketAddress,
        duration: Duration,
    ) {
        excludedUntil[peer] = clock() + duration
    }

    /** Lets every excluded peer be asked again. */
    fun clearExclusions() {
        excludedUntil.clear()
    }

    /** Whether the store recently failed the calls of [peer], which may be this entry VM. */
    fun isStoreUnavailable(peer: SocketAddress): Boolean = clock() < (storeUnavailableUntil[peer] ?: Duration.ZERO)

    fun markStoreUnavailable(
        peer: SocketAddress,
        duration: Duration,
    ) {
        storeUnavailableUntil[peer] = clock() + duration
    }

    /** Whether [peer] has had outdated records for longer than [timeout]; the first call starts the timer. */
    fun hasTimedOut(
        peer: SocketAddress,
        timeout: Duration,
    ): Boolean = clock() - waitedSince.getOrPut(peer) { clock() } > timeout

    /** Stops the timers of [hasTimedOut] for all peers. */
    fun resetTimers() {
        waitedSince.clear()
    }
}
