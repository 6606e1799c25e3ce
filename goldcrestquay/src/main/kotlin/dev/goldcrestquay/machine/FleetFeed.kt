package dev.goldcrestquay.machine

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.move.RolloutController
import dev.goldcrestquay.move.VersionEvidence
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
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
 * The reader is the first, in an order that is the same everywhere, of those that answer and whom the store serves. Two readers
 * are harmless but for their calls, and one gives up. While the store serves nobody, the first few keep trying for all.
 */
public class FleetFeed(
    private val parts: FeedParts,
    private val seeds: List<SocketAddress>,
    private val process: String,
    private val clock: Clock,
    isFirstStart: Boolean = false,
    private val report: (FleetEvent) -> Unit,
) {
    private val state = parts.state
    private val members = parts.members
    private val selfAddress get() = members.self.peerAddress
    private val peers = PeerMemory(clock)
    private val evidence = EvidenceTable(process, parts.evidence, members)
    private var changed = CompletableDeferred<Unit>()
    private var signalled = FactPosition(process, 0, 0)
    private var confirmations = 0L
    private var checkedAt = Duration.ZERO
    private var failedSteps = 0
    private val startPatience = if (isFirstStart) FIRST_START_PATIENCE else START_PATIENCE

    /** The entry VM that reads the store for this one, itself when it reads; null while it looks for one. */
    public var reader: SocketAddress? = null
        private set

    /** Whether this entry VM reads the store. */
    public val isReader: Boolean get() = reader == selfAddress

    /** Gets the facts once, so that this entry VM can serve before it knows its peers, then follows for ever. */
    public suspend fun run() {
        start()
        while (true) {
            members.expire()
            if (isReader) lead() else follow()
        }
    }

    /** Tells peers without delay that this entry VM is leaving. */
    public suspend fun announce() {
        val source = reader?.takeIf { !isReader }
        if (source != null) ask(sourceOf(source), Duration.ZERO) else signal()
    }

    /** Answers a peer; keeps it waiting while there is no news. */
    public suspend fun answer(request: ExchangeRequest): ExchangeReply {
        val asked = clock()
        members.heard(request.sender, request.heard)
        evidence.heard(request.evidence)
        if (request.isReader && (reader == null || isStale())) become(request.sender.peerAddress)
        val known = request.known?.takeIf { it.process == process }
        if (known == position()) {
            val hold = request.holdMilliseconds.milliseconds.coerceAtMost(HOLD)
            withTimeoutOrNull(hold) { changed.await() }
        }
        return ExchangeReply(
            position = position(),
            heldMilliseconds = (clock() - asked).inWholeMilliseconds,
            ageMilliseconds = state.age().takeIf { it.isFinite() }?.inWholeMilliseconds,
            reader = reader,
            turnedAway = peers.isTurnedAway(selfAddress),
            records = state.changesAfter(known?.sequence ?: 0),
            members = if (known?.membersVersion == members.version) null else members.changesAfter(known?.membersVersion),
            knowsHeard = members.knowsWhoIsHeardBy(request.sender.peerAddress),
            rollouts = state.rollouts().values.toList(),
        )
    }

    /** Seeds read for themselves; others wait a moment for a seed, since each that reads costs the store as much as a reader does. */
    private suspend fun start() {
        val until = clock() + startPatience
        var pause = START_PAUSE
        while (!state.isLoaded) {
            if (askSeeds()) break
            if (selfAddress in seeds || clock() >= until) {
                if (parts.reader.load()) break
                pause = (pause * 2).coerceAtMost(LONGEST_START_PAUSE)
            }
            delay(pause)
        }
        signal()
    }

    /** Asks all seeds at once; whether one had fresh facts. */
    private suspend fun askSeeds(): Boolean {
        val found = CompletableDeferred<Boolean>()
        coroutineScope {
            val calls =
                seeds.filter { it != selfAddress }.map { seed ->
                    launch {
                        val reply = ask(seed, Duration.ZERO)
                        if (reply != null && isFresh(reply) && found.complete(true)) reader = reply.reader?.takeIf { it != selfAddress }
                    }
                }
            launch {
                calls.joinAll()
                found.complete(false)
            }
            found.await()
            coroutineContext.cancelChildren()
        }
        return found.await()
    }

    private suspend fun lead() {
        val read = parts.reader.step(STEP)
        decideRollouts()
        signal(confirmed = read)
        if (read) {
            failedSteps = 0
        } else {
            if (state.age() > GIVE_UP_AGE) return giveUp()
            delay(RETRY_PAUSE * (1 shl failedSteps.coerceAtMost(MOST_DOUBLINGS)))
            failedSteps++
        }
        checkForOtherReader()
    }

    private suspend fun giveUp() {
        failedSteps = 0
        peers.turnedAway(selfAddress, selfPause())
        become(null)
    }

    private suspend fun decideRollouts() {
        if (state.orders().isEmpty()) return
        val counts = evidence.of(state.orders().keys).values.flatten()
        parts.controller.step(counts, members.alive.size)
    }

    /**
     * Of two readers, one gives up: the first seed that answers is the arbiter, and the reader that it follows stays.
     *
     * Two readers each know their own followers only, so an order over known members would differ between them.
     */
    private suspend fun checkForOtherReader() {
        if (clock() - checkedAt < CHECK_INTERVAL) return
        checkedAt = clock()
        val arbiter = (seeds + members.candidates(seeds)).firstOrNull { !peers.isSilent(it) } ?: return
        if (arbiter == selfAddress) return
        val reply = ask(arbiter, Duration.ZERO) ?: return peers.silence(arbiter, PEER_PAUSE)
        val other = reply.reader?.takeIf { it != selfAddress && !peers.isSilent(it) && isFresh(reply) } ?: return
        become(other)
    }

    private suspend fun follow() {
        val root = reader ?: return seek()
        val source = sourceOf(root)
        val reply = ask(source, HOLD)
        when {
            reply == null -> {
                peers.silence(source, PEER_PAUSE)
                if (source == root) become(null)
            }
            isFresh(reply) -> adopt(reply, source)
            source != root -> peers.silence(source, PEER_PAUSE)
            else -> become(null)
        }
    }

    private fun sourceOf(root: SocketAddress): SocketAddress = factSource(members.self, root, members.alive) { !peers.isSilent(it) }

    /** Follows the reader that [source] follows, or [source] itself when that reader does not answer here. */
    private suspend fun adopt(
        reply: ExchangeReply,
        source: SocketAddress,
    ) {
        peers.served()
        val named = reply.reader
        when {
            named == null -> if (reader == null) become(source)
            named == selfAddress -> if (peers.isTurnedAway(selfAddress)) delay(RETRY_PAUSE) else takeOver()
            peers.isSilent(named) -> become(source)
            else -> become(named)
        }
    }

    /** Looks for a reader: the first few in the common order are asked, and this entry VM reads when it is its turn. */
    private suspend fun seek() {
        val answering = answering()
        val firstFew = answering.take(MOST_ASKED)
        val next = (firstFew + selfAddress).firstOrNull { it in answering && !peers.isTurnedAway(it) && isTurnOf(it) }
        when {
            next == null -> awaitAny(firstFew.firstOrNull { it != selfAddress })
            next != selfAddress -> askCandidate(next)
            next != members.candidates(seeds).first() && members.alive.size == 1 && state.age() < ALONE_PATIENCE -> {
                delay(RETRY_PAUSE)
                peers.forgive()
            }
            else -> takeOver()
        }
    }

    /** An entry VM that knows nobody yet asks all seeds before it reads. */
    private fun isTurnOf(candidate: SocketAddress): Boolean {
        if (candidate != selfAddress || selfAddress in seeds || members.alive.size > 1) return true
        return seeds.all { peers.isSilent(it) || peers.isTurnedAway(it) }
    }

    private suspend fun askCandidate(candidate: SocketAddress) {
        val reply = ask(candidate, Duration.ZERO)
        when {
            reply == null -> peers.silence(candidate, PEER_PAUSE)
            isFresh(reply) -> adopt(reply, candidate)
            reply.turnedAway -> peers.turnedAway(candidate, PEER_PAUSE)
            peers.isOutOfPatience(candidate, CANDIDATE_PATIENCE) -> {
                peers.served()
                peers.silence(candidate, PEER_PAUSE)
            }
            else -> delay(RETRY_PAUSE)
        }
    }

    /** While the store serves nobody: waits at [peer] for news. */
    private suspend fun awaitAny(peer: SocketAddress?) {
        val reply = peer?.let { ask(it, HOLD) }
        when {
            peer == null -> delay(RETRY_PAUSE)
            reply == null -> peers.silence(peer, PEER_PAUSE)
            isFresh(reply) -> adopt(reply, peer)
            else -> delay(RETRY_PAUSE)
        }
    }

    private suspend fun takeOver() {
        if (!parts.reader.load()) {
            peers.turnedAway(selfAddress, selfPause())
            signal()
            return
        }
        peers.served()
        become(selfAddress)
        signal(confirmed = true)
        answering().filter { it != selfAddress }.take(MOST_ASKED).forEach {
            if (isReader) ask(it, Duration.ZERO)
        }
    }

    /** The first few in the common order try the store again soon, the others seldom. */
    private fun selfPause(): Duration = if (answering().indexOf(selfAddress) < MOST_ASKED) SELF_PAUSE else LATER_SELF_PAUSE

    /** All that may be asked, this entry VM included, in the common order. */
    private fun answering(): List<SocketAddress> = members.candidates(seeds).filter { !peers.isSilent(it) }

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
        val followed = peers.followed(peer)
        val heardVersion = members.heardVersion
        val told = if (isReader) emptyMap() else evidence.of(state.orders().keys)
        // Whom the reader hears goes down only: sent up again by its arbiter, the dead would never be forgotten.
        val heard = if (isReader) emptyList() else members.heardBesides(peer).takeIf { followed?.heardVersion != heardVersion }
        val known = followed?.position?.let { if (members.listedBy == peer) it else it.copy(membersVersion = null) }
        val request = ExchangeRequest(members.self, known, hold.inWholeMilliseconds, heard, told, isReader)
        val reply = withTimeoutOrNull(hold + ANSWER_LIMIT) { parts.exchange(peer, request) }
        if (reply == null) {
            peers.forget(peer)
            report(FleetEvent.PeerSilent(peer.toString()))
            return null
        }
        peers.follow(peer, PeerMemory.Followed(reply.position, if (isReader || !reply.knowsHeard) UNTOLD else heardVersion))
        take(peer, reply, asked, confirmed = !isReader && followed?.position?.confirmations != reply.position.confirmations)
        return reply
    }

    private fun take(
        peer: SocketAddress,
        reply: ExchangeReply,
        asked: Duration,
        confirmed: Boolean,
    ) {
        reply.records.forEach { state.apply(it) }
        reply.ageMilliseconds?.let { state.confirm(asked + reply.heldMilliseconds.milliseconds - it.milliseconds) }
        if (!isReader) {
            reply.members?.let { members.follow(peer, it) }
            state.setRollouts(reply.rollouts)
        }
        signal(confirmed)
    }

    /** Wakes held answers when there is news, or when the facts were [confirmed]. */
    private fun signal(confirmed: Boolean = false) {
        if (state.isLoaded) members.accept()
        if (confirmed) confirmations++
        val now = position()
        if (now == signalled) return
        val isNews = now.sequence != signalled.sequence || now.membersVersion != signalled.membersVersion
        signalled = now
        if (isNews) report(FleetEvent.FactsChanged(state.sequence, state.routes?.plan?.version, state.targets().size))
        changed.complete(Unit)
        changed = CompletableDeferred()
    }

    private fun position() = FactPosition(process, state.sequence, members.version, confirmations)

    private fun isFresh(reply: ExchangeReply): Boolean = (reply.ageMilliseconds ?: Long.MAX_VALUE) < FRESH_AGE.inWholeMilliseconds

    private fun isStale(): Boolean = state.age() >= FRESH_AGE

    private companion object {
        /** A reader waits this long for an order in one call, and reads what targets wrote once in that time. */
        val STEP = 900.milliseconds

        /** How long a peer keeps an answer without news; a dead reader is noticed after this and [ANSWER_LIMIT]. */
        val HOLD = 500.milliseconds

        /** The wait for an answer beyond its hold: round trips, and a machine that is busy for a moment. */
        val ANSWER_LIMIT = 250.milliseconds

        /** Facts younger than this are worth following; a reader's own are up to a step and a call old. */
        val FRESH_AGE = 1700.milliseconds

        /** A reader whose facts are older than this lets another try. */
        val GIVE_UP_AGE = 1500.milliseconds

        /** How long a peer that did not answer is left out. */
        val PEER_PAUSE = 2.seconds

        /** How long one of the first few that cannot reach the store waits before it tries again. */
        val SELF_PAUSE = 1.seconds

        /** The same for all others: in a hundred entry VMs, 25 calls a second while the store is away. */
        val LATER_SELF_PAUSE = 4.seconds

        /** How many entry VMs are asked for a reader, in the common order; they are the ones that try the store first. */
        const val MOST_ASKED = 3

        /** A candidate that answers with old facts gets this long to notice that its reader is gone, and to load. */
        val CANDIDATE_PATIENCE = 700.milliseconds

        /** An entry VM that knows nobody waits for the seeds until its facts are so old; half of the time in which plans must be in force. */
        val ALONE_PATIENCE = 900.milliseconds

        val RETRY_PAUSE = 100.milliseconds

        /** A reader's pauses between failed steps grow up to 400 ms. */
        const val MOST_DOUBLINGS = 2

        /** Processes killed together are back within this time of each other. */
        val START_PATIENCE = 150.milliseconds

        /** Before the first traffic there is time to wait for machines that start a third of a second later. */
        val FIRST_START_PATIENCE = 1.seconds

        val START_PAUSE = 25.milliseconds

        /** While the store is away, a starting entry VM tries it as often as this. */
        val LONGEST_START_PAUSE = 400.milliseconds

        /** How often a reader looks for another reader. */
        val CHECK_INTERVAL = 1.seconds

        /** Stands for a peer that knows nothing of whom this entry VM hears. */
        const val UNTOLD = -1L
    }
}
