package dev.goldcrestquay.machine

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.move.RolloutController
import dev.goldcrestquay.move.VersionCount
import dev.goldcrestquay.move.VersionEvidence
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the feed works with. */
public class FeedParts(
    public val state: SharedState,
    public val members: FleetMembers,
    public val reader: StoreReader,
    public val exchange: ExchangeLink,
    public val evidence: VersionEvidence,
    public val controller: RolloutController,
)

/**
 * Keeps this entry VM's facts fresh: one entry VM reads the store, the others follow it.
 *
 * An entry VM that finds no peer with fresh facts reads for itself, and peers then follow it; who comes first is given by an
 * order that is the same everywhere. Two readers are harmless but for their calls, and the later in order gives up.
 */
public class FleetFeed(
    private val parts: FeedParts,
    private val seeds: List<SocketAddress>,
    private val process: String,
    private val clock: Clock,
    private val report: (FleetEvent) -> Unit,
) {
    private val state = parts.state
    private val members = parts.members
    private val selfAddress get() = members.self.peerAddress
    private val silentUntil = HashMap<SocketAddress, Duration>()
    private val positions = HashMap<SocketAddress, FactPosition>()
    private val evidenceByMember = HashMap<String, List<VersionCount>>()
    private var changed = CompletableDeferred<Unit>()
    private var signalled = 0L to 0L
    private var checkedAt = Duration.ZERO

    /** The entry VM whose facts this one follows, itself when it reads the store; null while it looks for one. */
    public var reader: SocketAddress? = null
        private set

    /** Whether this entry VM reads the store. */
    public val isReader: Boolean get() = reader == selfAddress

    /** Loads the facts once, so that this entry VM can serve before it knows any peer, then follows for ever. */
    public suspend fun run() {
        while (!parts.reader.load()) {
            if (askSeeds()) break
            delay(LOAD_PAUSE)
        }
        signal()
        askSeeds()
        while (true) {
            if (isReader) lead() else follow()
        }
    }

    /** Tells peers without delay that this entry VM is leaving. */
    public suspend fun announce() {
        val target = reader?.takeIf { !isReader }
        if (target != null) ask(target, Duration.ZERO) else signal()
    }

    /** Answers a peer; keeps it waiting while there is no news. */
    public suspend fun answer(request: ExchangeRequest): ExchangeReply {
        val asked = clock()
        members.heard(request.sender)
        evidenceByMember[request.sender.name] = request.evidence
        val known = request.known?.takeIf { it.process == process }
        if (known != null && known.sequence == state.sequence && known.membersVersion == members.version) {
            val hold = request.holdMilliseconds.milliseconds.coerceAtMost(HOLD)
            withTimeoutOrNull(hold) { changed.await() }
        }
        return ExchangeReply(
            position = FactPosition(process, state.sequence, members.version),
            heldMilliseconds = (clock() - asked).inWholeMilliseconds,
            ageMilliseconds = state.age().takeIf { it.isFinite() }?.inWholeMilliseconds,
            reader = reader,
            records = state.changesAfter(known?.sequence ?: 0),
            members = members.alive.takeIf { known?.membersVersion != members.version },
            rollouts = state.rollouts().values.toList(),
        )
    }

    private suspend fun askSeeds(): Boolean {
        for (seed in seeds.filter { it != selfAddress }) {
            val reply = ask(seed, Duration.ZERO) ?: continue
            if (!isFresh(reply)) continue
            reply.reader?.let { reader = it.takeIf { address -> address != selfAddress } }
            return true
        }
        return false
    }

    private suspend fun lead() {
        members.expire()
        val read = parts.reader.step(STEP)
        decideRollouts()
        signal()
        if (!read && state.age() > GIVE_UP_AGE) {
            silentUntil[selfAddress] = clock() + SELF_PAUSE
            become(null)
            return
        }
        if (!read) delay(RETRY_PAUSE)
        checkForOtherReader()
    }

    private suspend fun decideRollouts() {
        if (state.orders().isEmpty()) return
        val alive = members.alive.mapTo(HashSet()) { it.name }
        evidenceByMember.keys.retainAll(alive)
        val counts = evidenceByMember.values.flatten() + parts.evidence.of(state.orders().keys)
        parts.controller.step(counts, alive.size)
    }

    /**
     * Of two readers, one gives up: the first seed that answers is the arbiter, and the reader that it follows stays.
     *
     * Two readers each know their own followers only, so an order over known members would differ between them.
     */
    private suspend fun checkForOtherReader() {
        if (clock() - checkedAt < CHECK_INTERVAL) return
        checkedAt = clock()
        val arbiter = (seeds + members.candidates(seeds)).firstOrNull { !isSilent(it) } ?: return
        if (arbiter == selfAddress) return
        val reply = ask(arbiter, Duration.ZERO)
        if (reply == null) {
            silentUntil[arbiter] = clock() + PEER_PAUSE
            return
        }
        val other = reply.reader?.takeIf { it != selfAddress && !isSilent(it) && isFresh(reply) } ?: return
        become(other)
    }

    private suspend fun follow() {
        val peer = reader ?: nextReader()
        if (peer == null) {
            delay(RETRY_PAUSE)
            silentUntil.clear()
            return
        }
        if (peer == selfAddress) {
            if (parts.reader.load()) {
                become(selfAddress)
                signal()
            } else {
                silentUntil[selfAddress] = clock() + SELF_PAUSE
            }
            return
        }
        val reply = ask(peer, HOLD)
        val better = reply?.reader?.takeIf { it != peer && it != selfAddress && !isSilent(it) }
        when {
            reply == null || !isFresh(reply) -> {
                silentUntil[peer] = clock() + PEER_PAUSE
                become(better)
            }
            better != null -> become(better)
            else -> become(peer)
        }
    }

    /** The first in the common order that may answer; before any peer is known, this entry VM comes after the seeds. */
    private fun nextReader(): SocketAddress? {
        val order = members.candidates(seeds).filter { !isSilent(it) }
        if (members.alive.size > 1 || selfAddress in seeds) return order.firstOrNull()
        return order.firstOrNull { it != selfAddress } ?: order.firstOrNull()
    }

    private fun become(newReader: SocketAddress?) {
        if (reader == newReader) return
        reader = newReader
        if (isReader) members.lead()
        report(FleetEvent.FollowingChanged(newReader?.toString() ?: "none", state.age()))
    }

    private suspend fun ask(
        peer: SocketAddress,
        hold: Duration,
    ): ExchangeReply? {
        val asked = clock()
        val evidence = parts.evidence.of(state.orders().keys)
        val request = ExchangeRequest(members.self, positions[peer], hold.inWholeMilliseconds, evidence)
        val reply = withTimeoutOrNull(hold + ANSWER_LIMIT) { parts.exchange(peer, request) }
        if (reply == null) {
            positions.remove(peer)
            report(FleetEvent.PeerSilent(peer.toString()))
            return null
        }
        take(peer, reply, asked)
        return reply
    }

    private fun take(
        peer: SocketAddress,
        reply: ExchangeReply,
        asked: Duration,
    ) {
        positions[peer] = reply.position
        reply.records.forEach { state.apply(it) }
        reply.ageMilliseconds?.let { state.confirm(asked + reply.heldMilliseconds.milliseconds - it.milliseconds) }
        if (!isReader) {
            reply.members?.let { members.follow(it) }
            state.steps(reply.rollouts)
        }
        signal()
    }

    /** Wakes held answers when there is news. */
    private fun signal() {
        if (state.isLoaded) members.accept()
        val now = state.sequence to members.version
        if (now == signalled) return
        signalled = now
        report(FleetEvent.FactsChanged(state.sequence, state.routes?.plan?.version, state.targets().size))
        changed.complete(Unit)
        changed = CompletableDeferred()
    }

    private fun isFresh(reply: ExchangeReply): Boolean = (reply.ageMilliseconds ?: Long.MAX_VALUE) < FRESH_AGE.inWholeMilliseconds

    private fun isSilent(peer: SocketAddress): Boolean = clock() < (silentUntil[peer] ?: Duration.ZERO)

    private companion object {
        /** A reader waits this long for an order in one call, and reads what targets wrote once in that time. */
        val STEP = 900.milliseconds

        /** How long a peer keeps an answer without news; a dead reader is noticed after this and [ANSWER_LIMIT]. */
        val HOLD = 400.milliseconds

        /** The wait for an answer beyond its hold: round trips, and a machine that is busy for a moment. */
        val ANSWER_LIMIT = 250.milliseconds

        /** Facts younger than this are worth following; a reader's own are up to a step and a call old. */
        val FRESH_AGE = 1700.milliseconds

        /** A reader whose facts are older than this lets another try. */
        val GIVE_UP_AGE = 1500.milliseconds

        /** How long a peer that did not answer is left out. */
        val PEER_PAUSE = 2.seconds

        /** How long an entry VM that cannot reach the store waits before it tries again. */
        val SELF_PAUSE = 1.seconds

        val RETRY_PAUSE = 100.milliseconds

        val LOAD_PAUSE = 50.milliseconds

        /** How often a reader looks for another reader. */
        val CHECK_INTERVAL = 1.seconds
    }
}
