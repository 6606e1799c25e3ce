package dev.goldcrestquay.machine

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.move.RAMP_SHARE
import dev.goldcrestquay.move.RolloutController
import dev.goldcrestquay.move.RolloutPhase
import dev.goldcrestquay.move.RolloutState
import dev.goldcrestquay.move.VersionEvidence
import dev.goldcrestquay.overload.FleetPressure
import dev.goldcrestquay.routing.CrashTable
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a [FleetReplicator] works with. */
public class ReplicatorParts(
    public val state: SharedState,
    public val members: FleetMembers,
    public val storeReader: StoreReader,
    public val exchange: ExchangeLink,
    public val evidence: VersionEvidence,
    public val controller: RolloutController,
    public val crashes: CrashTable,
    public val pressure: FleetPressure? = null,
)

/**
 * Keeps this entry VM's copy of the store's records up to date: one entry VM, the leader, reads the store, and the others follow it.
 *
 * The leader is the first entry VM, in an order that is the same everywhere, that answers its peers and that the store serves. Two
 * leaders at once only make more calls to the store, until one of them follows the other. While the store serves no entry VM, the
 * first few in that order keep trying it on behalf of all.
 *
 * @param seedAddresses the peer addresses to contact first.
 * @param process this entry VM's process, as `name/incarnation`.
 * @param isFirstStart whether the whole deployment starts for the first time.
 */
public class FleetReplicator(
    private val parts: ReplicatorParts,
    private val seedAddresses: () -> List<SocketAddress>,
    private val process: String,
    private val clock: Clock,
    isFirstStart: Boolean = false,
    private val report: (FleetEvent) -> Unit,
) {
    private val state = parts.state
    private val members = parts.members
    private val seeds get() = seedAddresses()
    private val selfAddress get() = members.self.peerAddress
    private val peers = PeerTable(clock)
    private val evidence = VersionCountTable(process, parts.evidence, members)
    private var changeSignal = CompletableDeferred<Unit>()
    private var signalledPosition = ReplicationPosition(process, 0, 0)
    private var signalledRollouts = mapOf<String, RolloutState>()
    private val rolloutDecisions = Mutex()
    private val ownCrashes = Channel<Unit>(Channel.CONFLATED)
    private var confirmations = 0L
    private var signalledConfirmation = -Duration.INFINITE
    private var leaderCheckedAt = Duration.ZERO
    private var failedPolls = 0
    private val seedTimeout = if (isFirstStart) FIRST_START_SEED_TIMEOUT else SEED_TIMEOUT

    /** The peer address of the entry VM that reads the store for this one, its own when it leads; null while it looks for a leader. */
    public var leader: SocketAddress? = null
        private set

    /** Whether this entry VM reads the store. */
    public val isLeader: Boolean get() = leader == selfAddress

    /** Loads the records once, so that this entry VM can serve before it knows its peers, then leads or follows until cancelled. */
    public suspend fun run() {
        parts.crashes.onOwnChange = { ownCrashes.trySend(Unit) }
        start()
        coroutineScope {
            launch { watchShiftedRollouts() }
            launch { announceCrashes() }
            while (true) {
                members.expire()
                parts.crashes.expire()
                runStep { if (isLeader) lead() else follow() }
            }
        }
    }

    /** Runs one [step]; an unexpected error, a stack overflow included, is reported and must not end the replication. */
    private suspend fun runStep(step: suspend () -> Unit) {
        try {
            step()
        } catch (exception: CancellationException) {
            throw exception
        } catch (error: Throwable) {
            report(FleetEvent.StepFailed(error.toString()))
            delay(RETRY_PAUSE)
        }
    }

    /** Judges rollouts more often than the leader polls the store while a version that may be bad gets more than its trial's share. */
    private suspend fun watchShiftedRollouts() {
        while (true) {
            delay(SHIFT_JUDGEMENT_INTERVAL)
            if (!isLeader || !isShifting()) continue
            runStep {
                decideRollouts()
                signal()
            }
        }
    }

    /** Sends the peers without delay what this entry VM learns about requests that end targets, since callers repeat them elsewhere. */
    private suspend fun announceCrashes() {
        while (true) {
            ownCrashes.receive()
            runStep {
                signal()
                val source = leader?.takeIf { it != selfAddress }?.let { sourceFor(it) }
                if (source != null) ask(source, Duration.ZERO)
            }
            delay(CRASH_ANNOUNCEMENT_INTERVAL)
        }
    }

    private fun isShifting(): Boolean = state.rollouts().values.any { it.phase == RolloutPhase.SHIFTED || it.share == RAMP_SHARE }

    /** Notifies peers without delay that this entry VM is leaving. */
    public suspend fun announceDeparture() {
        val source = leader?.takeIf { !isLeader }
        if (source != null) ask(sourceFor(source), Duration.ZERO) else signal()
    }

    /** Answers the request of a peer; holds the reply until there are changes, up to the hold that the peer asks for. */
    public suspend fun answer(request: ExchangeRequest): ExchangeReply {
        val receivedAt = clock()
        members.recordHeartbeat(request.sender, request.observed)
        evidence.merge(request.evidence)
        parts.pressure?.merge(request.sender.name, request.loads)
        if (parts.crashes.merge(request.crashes, request.sender.peerAddress)) signal()
        if (request.isLeader && (leader == null || isStale())) changeLeader(request.sender.peerAddress)
        val known = request.known?.takeIf { it.process == process }
        if (known == position()) {
            val hold = request.holdMilliseconds.milliseconds.coerceAtMost(HOLD)
            withTimeoutOrNull(hold) { changeSignal.await() }
        }
        val beyond = if (known == null) state.changesBeyond(request.epoch, request.completeThrough) else null
        return ExchangeReply(
            position = position(),
            heldMilliseconds = (clock() - receivedAt).inWholeMilliseconds,
            ageMilliseconds = state.age().takeIf { it.isFinite() }?.inWholeMilliseconds,
            leader = leader,
            storeUnavailable = peers.isStoreUnavailable(selfAddress),
            records = beyond ?: state.changesAfter(known?.sequence ?: 0),
            members = if (known?.membersVersion == members.version) null else members.changesAfter(known?.membersVersion),
            knowsObserved = members.hasReportFrom(request.sender.peerAddress),
            rollouts = state.rollouts().values.toList(),
            completeThrough = state.completeThrough(),
            epoch = state.epoch,
            crashes = parts.crashes.changesAfter(known?.crashesVersion ?: 0, request.sender.peerAddress),
            isWhole = beyond == null,
            completeFrom = state.completeFrom(),
            levels = parts.pressure?.levels(isLeader).orEmpty(),
        )
    }

    /**
     * Loads the first records, from a seed or from the store.
     *
     * A seed reads the store as soon as no other seed has fresh records. The others wait for a seed until the seed timeout, since each
     * entry VM that reads costs the store as much as a leader does.
     */
    private suspend fun start() {
        val until = clock() + seedTimeout
        var pause = START_PAUSE
        // Records without a plan end the start too: the first plan may be written much later.
        var hasRecords = false
        while (!hasRecords && !state.isLoaded) {
            runStep {
                hasRecords = askSeeds()
                if (hasRecords) return@runStep
                if (selfAddress in seeds || clock() >= until) {
                    hasRecords = parts.storeReader.load()
                    if (hasRecords) return@runStep
                    pause = (pause * 2).coerceAtMost(MAXIMUM_START_PAUSE)
                }
                if (clock() >= until + STALE_START_TIMEOUT) state.acceptStaleLoad()
                delay(pause)
            }
        }
        signal()
    }

    /** Asks all seeds at once; returns whether one had fresh records. */
    private suspend fun askSeeds(): Boolean {
        val found = CompletableDeferred<Boolean>()
        coroutineScope {
            val calls =
                seeds.filter { it != selfAddress }.map { seed ->
                    launch {
                        val reply = ask(seed, Duration.ZERO)
                        if (reply != null && isFresh(reply) && found.complete(true)) leader = reply.leader?.takeIf { it != selfAddress }
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

    /** One step as the leader: reads the store, decides rollouts and releases held replies. */
    private suspend fun lead() {
        val polled = parts.storeReader.poll(POLL_WAIT, ::signalConfirmation)
        decideRollouts()
        signalConfirmation()
        if (polled) {
            failedPolls = 0
        } else {
            if (state.age() > STEP_DOWN_AGE) return stepDown()
            delay(RETRY_PAUSE * (1 shl failedPolls.coerceAtMost(MAXIMUM_DOUBLINGS)))
            failedPolls++
        }
        checkForOtherLeader()
    }

    /** Releases held replies when the leader's records have become younger, or have changed. */
    private fun signalConfirmation() {
        val confirmedAt = state.confirmedAt ?: return signal()
        val isYounger = confirmedAt - signalledConfirmation > CONFIRMATION_STEP
        if (isYounger) signalledConfirmation = confirmedAt
        signal(confirmed = isYounger)
    }

    private suspend fun stepDown() {
        failedPolls = 0
        peers.markStoreUnavailable(selfAddress, storeRetryPause())
        changeLeader(null)
    }

    private suspend fun decideRollouts() {
        if (state.orders().isEmpty() && state.lostVerdicts().isEmpty()) return
        rolloutDecisions.withLock {
            val counts = evidence.countsOf(state.orders().keys)
            parts.controller.rewriteLostVerdicts()
            parts.controller.step(counts, members.alive.size)
        }
    }

    /**
     * Resolves the case of two leaders: the leader that the arbiter follows stays, and the other one follows it.
     *
     * The arbiter is the first seed that is not excluded, or the first such candidate when all seeds are. The order of the candidates
     * alone can't decide this, since each leader knows its own followers only, so the two may find different entry VMs first.
     */
    private suspend fun checkForOtherLeader() {
        if (clock() - leaderCheckedAt < LEADER_CHECK_INTERVAL) return
        leaderCheckedAt = clock()
        val arbiter = (seeds + members.candidates(seeds)).firstOrNull { !peers.isExcluded(it) } ?: return
        if (arbiter == selfAddress) return
        val reply = ask(arbiter, Duration.ZERO) ?: return peers.exclude(arbiter, PEER_EXCLUSION)
        val other = reply.leader?.takeIf { it != selfAddress && !peers.isExcluded(it) && isFresh(reply) } ?: return
        changeLeader(other)
    }

    /** One step as a follower: gets the next records, or looks for a leader when there is none. */
    private suspend fun follow() {
        val currentLeader = leader ?: return seekLeader()
        val source = sourceFor(currentLeader)
        val reply = ask(source, if (isShifting()) SHIFTING_HOLD else HOLD)
        when {
            reply == null -> {
                peers.exclude(source, PEER_EXCLUSION)
                if (source == currentLeader) changeLeader(null)
            }
            isFresh(reply) -> followLeaderOf(reply, source)
            source != currentLeader -> peers.exclude(source, PEER_EXCLUSION)
            else -> changeLeader(null)
        }
    }

    private fun sourceFor(currentLeader: SocketAddress): SocketAddress =
        replicationSource(members.self, currentLeader, members.alive) { !peers.isExcluded(it) }

    /** Follows the leader that [source] follows, or [source] itself when that leader does not answer this entry VM. */
    private suspend fun followLeaderOf(
        reply: ExchangeReply,
        source: SocketAddress,
    ) {
        peers.resetTimers()
        val named = reply.leader
        when {
            named == null -> if (leader == null) changeLeader(source)
            named == selfAddress -> if (peers.isStoreUnavailable(selfAddress)) delay(RETRY_PAUSE) else takeOver()
            peers.isExcluded(named) -> changeLeader(source)
            else -> changeLeader(named)
        }
    }

    /** Looks for a leader: asks the first few candidates in the common order, and takes over when it is this entry VM's turn. */
    private suspend fun seekLeader() {
        val usable = usableCandidates()
        val firstFew = usable.take(MAXIMUM_CANDIDATES)
        val next = (firstFew + selfAddress).firstOrNull { it in usable && !peers.isStoreUnavailable(it) && mayLead(it) }
        when {
            next == null -> awaitChanges(firstFew.firstOrNull { it != selfAddress })
            next != selfAddress -> askCandidate(next)
            next != members.candidates(seeds).first() && members.alive.size == 1 && state.age() < ALONE_MAXIMUM_AGE -> {
                delay(RETRY_PAUSE)
                peers.clearExclusions()
            }
            else -> takeOver()
        }
    }

    /** Whether [candidate] may lead: an entry VM that knows no other member yet asks all seeds before it reads the store. */
    private fun mayLead(candidate: SocketAddress): Boolean {
        if (candidate != selfAddress || selfAddress in seeds || members.alive.size > 1) return true
        return seeds.all { peers.isExcluded(it) || peers.isStoreUnavailable(it) }
    }

    private suspend fun askCandidate(candidate: SocketAddress) {
        val reply = ask(candidate, Duration.ZERO)
        when {
            reply == null -> peers.exclude(candidate, PEER_EXCLUSION)
            isFresh(reply) -> followLeaderOf(reply, candidate)
            reply.storeUnavailable -> peers.markStoreUnavailable(candidate, PEER_EXCLUSION)
            peers.hasTimedOut(candidate, CANDIDATE_TIMEOUT) -> {
                peers.resetTimers()
                peers.exclude(candidate, PEER_EXCLUSION)
            }
            else -> delay(RETRY_PAUSE)
        }
    }

    /** Waits for changes with a held request to [peer] while the store serves no entry VM. */
    private suspend fun awaitChanges(peer: SocketAddress?) {
        val reply = peer?.let { ask(it, HOLD) }
        when {
            peer == null -> delay(RETRY_PAUSE)
            reply == null -> peers.exclude(peer, PEER_EXCLUSION)
            isFresh(reply) -> followLeaderOf(reply, peer)
            else -> delay(RETRY_PAUSE)
        }
    }

    /** Reads on from the records held; when that succeeds, leads and notifies the first few candidates. */
    private suspend fun takeOver() {
        if (!parts.storeReader.resume()) {
            peers.markStoreUnavailable(selfAddress, storeRetryPause())
            signal()
            return
        }
        peers.resetTimers()
        changeLeader(selfAddress)
        signal(confirmed = true)
        usableCandidates().filter { it != selfAddress }.take(MAXIMUM_CANDIDATES).forEach {
            if (isLeader) ask(it, Duration.ZERO)
        }
    }

    /** The pause before this entry VM tries the store again: short for the first few in the common order, longer for the others. */
    private fun storeRetryPause(): Duration =
        if (usableCandidates().indexOf(selfAddress) < MAXIMUM_CANDIDATES) STORE_RETRY_PAUSE else LATER_STORE_RETRY_PAUSE

    /** All entry VMs that are not excluded, this one included, in the common order. */
    private fun usableCandidates(): List<SocketAddress> = members.candidates(seeds).filter { !peers.isExcluded(it) }

    private fun changeLeader(newLeader: SocketAddress?) {
        if (leader == newLeader) return
        leader = newLeader
        if (isLeader) members.becomeLeader()
        report(FleetEvent.FollowingChanged(newLeader?.toString() ?: "none", state.age()))
    }

    private suspend fun ask(
        peer: SocketAddress,
        hold: Duration,
    ): ExchangeReply? {
        val askedAt = clock()
        val progress = peers.progress(peer)
        val observedVersion = members.observedVersion
        val reportedCounts = if (isLeader) emptyMap() else evidence.countsOf(state.orders().keys)
        // Observed members are reported towards the leader only. If the leader reported them to its arbiter, the arbiter would report
        // them back, and dead members would never expire.
        val observed =
            if (isLeader) emptyList() else members.observedExceptVia(peer).takeIf { progress?.observedVersion != observedVersion }
        val known = progress?.position?.let { if (members.listSource == peer) it else it.copy(membersVersion = null) }
        val crashesVersion = parts.crashes.version
        val crashes = parts.crashes.changesAfter(progress?.crashesVersion ?: 0, peer)
        val request =
            ExchangeRequest(
                sender = members.self,
                known = known,
                holdMilliseconds = hold.inWholeMilliseconds,
                observed = observed,
                evidence = reportedCounts,
                isLeader = isLeader,
                crashes = crashes,
                completeThrough = if (known == null) state.completeThrough() else emptyMap(),
                epoch = state.epoch,
                loads = if (isLeader) emptyList() else parts.pressure?.loads().orEmpty(),
            )
        val reply = withTimeoutOrNull(hold + REPLY_MARGIN) { parts.exchange(peer, request) }
        if (reply == null) {
            report(FleetEvent.PeerSilent(peer.toString()))
            return null
        }
        peers.recordProgress(
            peer,
            PeerTable.Progress(
                position = reply.position,
                observedVersion = if (isLeader || !reply.knowsObserved) NO_VERSION else observedVersion,
                // A peer that has restarted has only what this request brought.
                crashesVersion = if (progress == null || progress.position.process == reply.position.process) crashesVersion else 0,
            ),
        )
        enterEpoch(reply.epoch)
        if (progress?.position?.process != reply.position.process) removeMissing(reply)
        applyReply(peer, reply, askedAt, confirmed = !isLeader && progress?.position?.confirmations != reply.position.confirmations)
        return reply
    }

    private fun enterEpoch(epoch: Long) {
        val previous = state.epoch
        state.enterEpoch(epoch)
        if (state.isLoaded && epoch > previous) report(FleetEvent.StoreRestored(epoch, previous))
    }

    /** Removes what the peer would hold if it had not been removed; [reply] has all records of the peer. */
    private fun removeMissing(reply: ExchangeReply) {
        if (!reply.isWhole || reply.epoch < state.epoch) return
        reply.completeThrough.forEach { (feed, end) ->
            val present = reply.records.filter { it.feed == feed }.mapTo(HashSet()) { it.key }
            state.removals(feed, present, end).forEach { state.apply(it) }
        }
    }

    private fun applyReply(
        peer: SocketAddress,
        reply: ExchangeReply,
        askedAt: Duration,
        confirmed: Boolean,
    ) {
        reply.records.forEach { state.apply(it) }
        if (reply.epoch == state.epoch) state.adoptGaps(reply.completeFrom ?: reply.completeThrough)
        if (reply.epoch == state.epoch) reply.completeThrough.forEach { (feed, end) -> state.markComplete(feed, end) }
        reply.ageMilliseconds?.let { state.confirm(askedAt + reply.heldMilliseconds.milliseconds - it.milliseconds) }
        parts.crashes.merge(reply.crashes, peer)
        if (!isLeader) {
            parts.pressure?.adopt(reply.levels)
            reply.members?.let { members.applyChanges(peer, it) }
            state.setRollouts(reply.rollouts)
        }
        signal(confirmed)
    }

    /** Releases held replies when records, members or rollouts changed, or when the records were [confirmed] to match the store. */
    private fun signal(confirmed: Boolean = false) {
        if (state.isLoaded) members.startAccepting()
        if (confirmed) confirmations++
        val current = position()
        val rollouts = state.rollouts()
        if (current == signalledPosition && rollouts == signalledRollouts) return
        signalledRollouts = rollouts
        val hasChanges = current.sequence != signalledPosition.sequence || current.membersVersion != signalledPosition.membersVersion
        signalledPosition = current
        if (hasChanges) {
            val planVersion = state.routes?.plan?.version
            report(FleetEvent.FactsChanged(state.sequence, planVersion, state.targets().size, members.alive.size, members.formatVersion))
        }
        changeSignal.complete(Unit)
        changeSignal = CompletableDeferred()
    }

    private fun position() = ReplicationPosition(process, state.sequence, members.version, confirmations, parts.crashes.version)

    private fun isFresh(reply: ExchangeReply): Boolean = (reply.ageMilliseconds ?: Long.MAX_VALUE) < FRESH_AGE.inWholeMilliseconds

    private fun isStale(): Boolean = state.age() >= FRESH_AGE

    private companion object {
        /** How long the leader's long poll waits for an operator's order; the leader reads the targets' records once in that time. */
        val POLL_WAIT = 900.milliseconds

        /** The longest time that a peer holds a reply without changes. A dead leader is detected after this plus [REPLY_MARGIN]. */
        val HOLD = 500.milliseconds

        /** The same while a version that may be bad gets more than its trial's share, so that the leader soon has the evidence of all members. */
        val SHIFTING_HOLD = 100.milliseconds

        /** How often the leader judges rollouts during that time. */
        val SHIFT_JUDGEMENT_INTERVAL = 50.milliseconds

        /** The timeout of a request beyond its hold: round trips, and a machine that is busy for a moment. */
        val REPLY_MARGIN = 250.milliseconds

        /** A peer with records younger than this may be followed. */
        val FRESH_AGE = SharedState.FRESH_AGE

        /** A leader whose records are older than this steps down, so that another entry VM can try the store. */
        val STEP_DOWN_AGE = 1500.milliseconds

        /** How long a peer is not asked after it did not answer, had outdated records or could not read the store. */
        val PEER_EXCLUSION = 2.seconds

        /** The pause of the first [MAXIMUM_CANDIDATES] entry VMs between attempts to load from a store that does not serve them. */
        val STORE_RETRY_PAUSE = 1.seconds

        /** The same for all others: a hundred entry VMs make 25 calls a second while the store is unavailable. */
        val LATER_STORE_RETRY_PAUSE = 4.seconds

        /** How many entry VMs are asked for a leader, in the common order; they are the ones that try the store first. */
        const val MAXIMUM_CANDIDATES = 3

        /** How long a candidate with outdated records has to detect that its leader is dead, and to load the records itself. */
        val CANDIDATE_TIMEOUT = 700.milliseconds

        /**
         * An entry VM that knows no other member retries the seeds until its records are this old, and then reads the store itself.
         *
         * This is half of the time within which a new plan must be in force.
         */
        val ALONE_MAXIMUM_AGE = 900.milliseconds

        val RETRY_PAUSE = 100.milliseconds

        /** The shortest time between two announcements; many connections are lost at once when a target ends. */
        val CRASH_ANNOUNCEMENT_INTERVAL = 50.milliseconds

        /** The leader's backoff between failed polls doubles this often, to 400 ms. */
        const val MAXIMUM_DOUBLINGS = 2

        /** How long a starting entry VM waits for a seed; processes that were killed together are back within this time of each other. */
        val SEED_TIMEOUT = 150.milliseconds

        /** The same at the deployment's first start: no traffic waits yet, and some machines start a third of a second later. */
        val FIRST_START_SEED_TIMEOUT = 1.seconds

        /**
         * How long after that a starting entry VM goes on looking for fresh records before it serves by stale ones.
         *
         * The peers of a reachable leader have fresh ones; without any, stale records serve callers better than none.
         */
        val STALE_START_TIMEOUT = 1500.milliseconds

        val START_PAUSE = 25.milliseconds

        /** The longest pause between a starting entry VM's attempts to load while the store is unavailable. */
        val MAXIMUM_START_PAUSE = 400.milliseconds

        /** Records that have become younger by less than this are not worth a reply to each peer. */
        val CONFIRMATION_STEP = 100.milliseconds

        /** How often a leader looks for another leader. */
        val LEADER_CHECK_INTERVAL = 1.seconds

        /** Stands for the observed version of a peer that does not know which members this entry VM observes. */
        const val NO_VERSION = -1L
    }
}
