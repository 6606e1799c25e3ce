package dev.goldcrestquay.machine

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.contract.LogRecord
import dev.goldcrestquay.contract.LogRecords
import dev.goldcrestquay.contract.Snapshot
import dev.goldcrestquay.contract.SnapshotNote
import dev.goldcrestquay.link.CatchUp
import dev.goldcrestquay.link.ExchangeMessage
import dev.goldcrestquay.link.LinkFailure
import dev.goldcrestquay.link.WarmthNotice
import dev.goldcrestquay.routing.ServicePosture
import dev.goldcrestquay.zone.Placement
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The loops of an entry VM: log, VM list, exchange with peers, decisions and probes. */
public class EntryControl internal constructor(
    private val vm: EntryVm,
    private val random: Random,
) {
    private val settings = vm.settings
    private val links = vm.links
    private val prober = Prober(vm)
    private val snapshots = SnapshotTimer(settings, links.clock, random)
    private var startedAt = links.clock()
    private var logReadAt = -Duration.INFINITE
    private var appliedOffset = -1L
    private var triedSnapshot = 0L

    @Volatile
    private var aheadPeer: String? = null
    private var placedAt = -Duration.INFINITE
    private var placedFor: Pair<Long, List<MemberRecord>>? = null

    /** The placement of services on entry VMs as this one sees it. */
    @Volatile
    public var placement: Placement = Placement.EMPTY
        private set

    /** Whether the log answered a short while ago. */
    public val logReachable: Boolean get() = links.clock() - logReadAt < LOG_FRESH

    /** Whether the state held is complete, or no peer could complete it in time. */
    public val mayServe: Boolean
        get() = placement !== Placement.EMPTY && (vm.environments.complete || links.clock() - startedAt > settings.incompleteGrace)

    /** Runs all loops until cancelled. */
    public suspend fun run(): Unit =
        coroutineScope {
            startedAt = links.clock()
            launch { every(settings.logPeriod, ::readLog) }
            launch { every(settings.vmListPeriod, ::readVmList) }
            launch { every(settings.membership.period, ::exchangeRound) }
            launch { every(settings.controlPeriod, ::decide) }
            launch { every(settings.movePeriod, ::moveRound) }
            launch { every(PROBE_ROUND, prober::round) }
        }

    /** Answers a peer's exchange. */
    public fun exchanged(message: ExchangeMessage): ExchangeMessage {
        merge(message)
        if (message.offset > vm.environments.state.offset) aheadPeer = message.sender
        return message()
    }

    /** Answers a peer that lacks what follows [offset], or that asks for the whole state with [WHOLE_STATE]. */
    public fun catchUp(offset: Long): CatchUp {
        val environments = vm.environments
        if (!environments.complete || environments.state.offset <= offset) return CatchUp.Nothing
        val records = if (offset == WHOLE_STATE) null else environments.recordsAfter(offset)
        return records?.let { CatchUp.Records(it) } ?: CatchUp.State(environments.state)
    }

    /** Says to all members that this VM is leaving and gives up its leases. */
    public suspend fun leave() {
        vm.members.leave()
        vm.leases.release()?.let { append(it) }
        val peers = vm.members.all().filter { it.status == MemberStatus.ALIVE }
        coroutineScope { peers.shuffled(random).take(LEAVE_NOTICES).forEach { launch { exchange(it.peerAddress) } } }
    }

    private suspend fun every(
        period: Duration,
        round: suspend () -> Unit,
    ) {
        delay(minOf(period, LONGEST_START) * random.nextDouble())
        while (true) {
            round()
            delay(period * (1.0 + (random.nextDouble() - HALF) * PERIOD_SPREAD))
        }
    }

    private suspend fun readLog() {
        repeat(MAXIMUM_BATCHES) {
            val before = vm.environments.nextOffset
            val result = withTimeoutOrNull(settings.logTimeout) { links.log.read(before) } ?: return
            result.onFailure { return }
            result.onSuccess {
                logReadAt = links.clock()
                vm.environments.read(it)
            }
            apply()
            if (vm.environments.nextOffset == before) return readSnapshot()
        }
    }

    /** Reads the newest snapshot when records needed are gone from the log. */
    private suspend fun readSnapshot() {
        val at = vm.environments.snapshots.newestAt
        if (vm.environments.complete || at == 0L || at == triedSnapshot) return
        val batch = withTimeoutOrNull(settings.logTimeout) { links.snapshots.read(at).get() } ?: return
        triedSnapshot = at
        vm.environments.adoptSnapshot(batch)
        apply()
    }

    /** Appends a snapshot to the stream of snapshots, then the note that tells of it. */
    private suspend fun writeSnapshot() {
        val state = vm.environments.state
        val text = LogRecords.write(Snapshot(state, vm.members.self.identity))
        val at = withTimeoutOrNull(settings.logTimeout) { links.snapshots.append(text).get() } ?: return
        append(SnapshotNote(at, state.offset, state.generation))
    }

    private suspend fun readVmList() {
        withTimeoutOrNull(settings.logTimeout) { links.vmList() }?.onSuccess { vm.members.listed(it) }
    }

    private suspend fun exchangeRound() {
        vm.members.tick()
        coroutineScope {
            vm.members
                .nextPeers()
                .distinct()
                .forEach { launch { exchange(it) } }
        }
    }

    private suspend fun moveRound(): Unit = coroutineScope { movePeers().distinct().forEach { launch { exchange(it) } } }

    /** The other carriers of services with a move under way, with whom evidence is shared every round. */
    private fun movePeers(): List<String> {
        val state = vm.environments.state
        val moving =
            state.environment
                ?.moves
                .orEmpty()
                .filter { state.moves[it.name]?.verdict == null }
        val carriers = moving.map { placement.carriersOf(it.service) }.filter { list -> list.any { it.name == vm.members.self.name } }
        return carriers.flatten().filter { it.name != vm.members.self.name }.map { it.peerAddress }
    }

    private suspend fun exchange(peerAddress: String) {
        val answer = withTimeoutOrNull(settings.peerTimeout) { links.peers.exchange(peerAddress, message()).get() }
        if (answer == null) return vm.members.failed(peerAddress)
        merge(answer)
        if (answer.offset > vm.environments.state.offset || !vm.environments.complete) catchUpFrom(peerAddress)
    }

    /** Takes what a peer has more of, once the log did not answer for two periods or cannot complete the state. */
    private suspend fun followPeer() {
        val sender = aheadPeer ?: return
        aheadPeer = null
        val address =
            vm.members
                .all()
                .firstOrNull { it.identity == sender }
                ?.peerAddress ?: return
        catchUpFrom(address)
    }

    private suspend fun catchUpFrom(peerAddress: String) {
        val logAnswers = links.clock() - logReadAt < settings.logPeriod * LOG_PERIODS
        if (logAnswers && vm.environments.complete) return
        val offset = if (vm.environments.complete) vm.environments.state.offset else WHOLE_STATE
        withTimeoutOrNull(settings.peerTimeout) { links.peers.catchUp(peerAddress, offset) }?.onSuccess {
            when (it) {
                is CatchUp.Records -> vm.environments.read(it.batch)
                is CatchUp.State -> vm.environments.adopt(it.state)
                CatchUp.Nothing -> Unit
            }
            apply()
        }
    }

    private fun message(): ExchangeMessage {
        val state = vm.environments.state
        val identity = vm.members.self.identity
        return ExchangeMessage(
            identity,
            state.offset,
            state.generation,
            vm.members.news(),
            vm.evidence.ownRows(),
            vm.moves.stops(),
            warmthNews(),
        )
    }

    private fun merge(message: ExchangeMessage) {
        vm.members.merge(message.members)
        vm.evidence.merge(message.sender, message.evidence)
        vm.moves.merge(message.stops)
        if (message.warmth.isEmpty()) return
        val tables = vm.services.tables
        message.warmth.forEach { notice ->
            val table = tables[notice.service] ?: return@forEach
            val target = table.service.targets.firstOrNull { it.name == notice.target } ?: return@forEach
            table.warmth(notice.target, if (notice.warm) Warmth.Warm(notice.startEpoch) else target.cold(notice.startEpoch))
        }
    }

    private fun warmthNews(): List<WarmthNotice> =
        vm.services.tables.flatMap { (service, table) ->
            table.warmthNews().map { (target, warmth) -> WarmthNotice(service, target, warmth.startEpoch, warmth is Warmth.Warm) }
        }

    private suspend fun decide() {
        followPeer()
        apply()
        if (vm.environments.state.environment == null || vm.leaving) return
        vm.leases.claim(wantedLeases())?.let { append(it) }
        vm.moves.decide(vm.environments.state, vm.leases::heldUntil).forEach { append(it) }
        if (snapshots.isDue(vm.environments)) writeSnapshot()
        apply()
    }

    /** Leases are wanted only where something needs one holder: cold or silent targets, or a move. */
    private fun wantedLeases(): List<String> {
        val state = vm.environments.state
        val mine = placement.servicesOf(vm.members.self.name).filter { placement.carriersOf(it).first().name == vm.members.self.name }
        return mine.filter { service ->
            val moving = state.environment?.moveOf(service)?.let { state.moves[it.name]?.verdict == null } ?: false
            moving || vm.services.tableOf(service)?.needsCare(settings.probePeriod) == true
        }
    }

    /** Puts the state and the members known in force for calls. */
    private fun apply() {
        val state = vm.environments.state
        if (state.offset != appliedOffset) {
            vm.leases.observe(state)
            vm.services.update(state.environment)
            appliedOffset = state.offset
        }
        place(state)
        vm.services.posture { service -> postureOf(state, service) }
    }

    private fun place(state: EnvironmentState) {
        val key = state.generation to vm.members.alive
        val now = links.clock()
        val recent = placedFor?.first == state.generation && now - placedAt < PLACEMENT_PAUSE
        if (key == placedFor || recent) return
        placedFor = key
        placedAt = now
        placement = Placement.of(state.environment?.services.orEmpty(), vm.members.alive, settings.placement)
    }

    private fun postureOf(
        state: EnvironmentState,
        service: String,
    ): ServicePosture {
        val carriers = placement.carriersOf(service)
        val carries = carriers.any { it.name == vm.members.self.name }
        val others = (vm.members.alive.size - carriers.size).coerceAtLeast(1)
        return ServicePosture(
            leaseUntil = vm.leases.heldUntil(service),
            share = vm.moves.versionShare(state, service),
            dataCentresOut = state.environment?.dataCentresOut.orEmpty(),
            connectionShare = if (carries) CARRIER_CONNECTIONS / carriers.size else (1 - CARRIER_CONNECTIONS) / others,
        )
    }

    private suspend fun append(record: LogRecord): Result<Long, LinkFailure>? =
        withTimeoutOrNull(settings.logTimeout) { links.log.append(LogRecords.write(record)) }

    private companion object {
        const val HALF = 0.5
        const val LOG_PERIODS = 2
        const val PERIOD_SPREAD = 0.2
        const val MAXIMUM_BATCHES = 64
        const val LEAVE_NOTICES = 8
        const val CARRIER_CONNECTIONS = 0.75
        const val WHOLE_STATE = -1L
        val LOG_FRESH = 3.seconds
        val LONGEST_START = 500.milliseconds
        val PLACEMENT_PAUSE = 1.seconds
        val PROBE_ROUND = 100.milliseconds
    }
}
