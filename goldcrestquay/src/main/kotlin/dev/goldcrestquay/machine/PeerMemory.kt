package dev.goldcrestquay.machine

import dev.goldcrestquay.link.Clock
import kotlin.time.Duration

/** What an entry VM remembers of its peers as sources of facts; confined to its event loop. */
internal class PeerMemory(
    private val clock: Clock,
) {
    /** Up to where this entry VM has followed a peer, and which of the members that it hears the peer knows. */
    class Followed(
        val position: FactPosition,
        val heardVersion: Long,
    )

    private val silentUntil = HashMap<SocketAddress, Duration>()
    private val turnedAwayUntil = HashMap<SocketAddress, Duration>()
    private val waitedSince = HashMap<SocketAddress, Duration>()
    private val followed = HashMap<SocketAddress, Followed>()

    fun followed(peer: SocketAddress): Followed? = followed[peer]

    fun follow(
        peer: SocketAddress,
        place: Followed,
    ) {
        followed[peer] = place
    }

    fun forget(peer: SocketAddress) {
        followed.remove(peer)
    }

    fun isSilent(peer: SocketAddress): Boolean = clock() < (silentUntil[peer] ?: Duration.ZERO)

    fun silence(
        peer: SocketAddress,
        pause: Duration,
    ) {
        silentUntil[peer] = clock() + pause
    }

    /** Gives every silent peer another chance. */
    fun forgive() {
        silentUntil.clear()
    }

    fun isTurnedAway(peer: SocketAddress): Boolean = clock() < (turnedAwayUntil[peer] ?: Duration.ZERO)

    fun turnedAway(
        peer: SocketAddress,
        pause: Duration,
    ) {
        turnedAwayUntil[peer] = clock() + pause
    }

    /** Whether this entry VM has waited longer than [patience] for [peer] to become useful; begins to wait. */
    fun isOutOfPatience(
        peer: SocketAddress,
        patience: Duration,
    ): Boolean = clock() - waitedSince.getOrPut(peer) { clock() } > patience

    /** Ends all waiting. */
    fun served() {
        waitedSince.clear()
    }
}
