package dev.goldcrestquay.machine

import dev.goldcrestquay.fleetMember
import dev.goldcrestquay.link.StoreLink
import dev.goldcrestquay.move.RolloutController
import dev.goldcrestquay.move.VersionEvidence
import dev.goldcrestquay.overload.FleetPressure
import dev.goldcrestquay.routing.CrashTable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.milliseconds

/** Several entry VMs that replicate records in memory, under virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class FakeFleet(
    private val scope: TestScope,
    private val store: FakeStore,
    private val seeds: List<Int> = listOf(1, 2, 3),
    private val dataCentres: Int = 1,
    private val sharesScarceRoom: Boolean = false,
) {
    class Node(
        val state: SharedState,
        val members: FleetMembers,
        val evidence: VersionEvidence,
        val replicator: FleetReplicator,
        val crashes: CrashTable,
        val eventLoop: PausableDispatcher,
        val refresher: RecordRefresher,
        val pressure: FleetPressure?,
    ) {
        lateinit var job: Job

        /** The requests of peers received so far. */
        var requests = 0

        /** The records sent to peers so far. */
        var sentRecords = 0
    }

    private val nodes = HashMap<SocketAddress, Node>()
    private val network = StandardTestDispatcher(scope.testScheduler)

    /** Whether two entry VMs can reach each other. */
    var connected: (SocketAddress, SocketAddress) -> Boolean = { _, _ -> true }

    /** The running entry VMs. */
    val running: Collection<Node> get() = nodes.values

    /** The running entry VMs that read the store. */
    val leaders: List<Node> get() = running.filter { it.replicator.isLeader }

    /** Starts the entry VM with [number]. */
    fun start(
        number: Int,
        incarnation: Long = 1,
        isFirstStart: Boolean = false,
    ): Node {
        val clock = { scope.currentTime.milliseconds }
        val self = member(number, incarnation)
        val state = SharedState(clock)
        val members = FleetMembers(self, clock)
        val link = remote(store.link(self.name))
        val storeReader = StoreReader(link, state, clock) { }
        val controller = RolloutController(state, link, { storeReader.verdictsEndOffset }, { storeReader.readVerdicts() }, clock) { }
        val evidence = VersionEvidence(clock)
        val crashes = CrashTable(clock)
        val pressure = if (sharesScarceRoom) FleetPressure(clock) else null
        val parts =
            ReplicatorParts(
                state,
                members,
                storeReader,
                { peer, request -> exchange(self.peerAddress, peer, request) },
                evidence,
                controller,
                crashes,
                pressure,
            )
        val seedAddresses = seeds.map { member(it).peerAddress }
        val replicator = FleetReplicator(parts, { seedAddresses }, "${self.name}/$incarnation", clock, isFirstStart) { }
        val eventLoop = PausableDispatcher(scope.testScheduler)
        val refresher = RecordRefresher(state, storeReader, clock, CoroutineScope(scope.backgroundScope.coroutineContext + eventLoop)) { }
        val node = Node(state, members, evidence, replicator, crashes, eventLoop, refresher, pressure)
        nodes[self.peerAddress] = node
        node.job = scope.backgroundScope.launch(node.eventLoop) { replicator.run() }
        return node
    }

    /** The [link] to a store that works on while the event loop of the entry VM that calls it is paused. */
    private fun remote(link: StoreLink): StoreLink =
        StoreLink(
            newest = { feed -> withContext(network) { link.newest(feed) } },
            read = { feed, from, wait -> withContext(network) { link.read(feed, from, wait) } },
            writeVerdict = { service, verdict, end -> withContext(network) { link.writeVerdict(service, verdict, end) } },
        )

    private fun member(
        number: Int,
        incarnation: Long = 1,
    ): FleetMember = fleetMember(number, incarnation).copy(dataCentre = "dc-${number % dataCentres}")

    /** Stops [node] without announcing its departure. */
    fun kill(node: Node) {
        node.job.cancel()
        nodes.remove(node.members.self.peerAddress)
    }

    private suspend fun exchange(
        from: SocketAddress,
        to: SocketAddress,
        request: ExchangeRequest,
    ): ExchangeReply? =
        withContext(network) {
            delay(ONE_WAY_MILLISECONDS)
            if (!connected(from, to)) awaitCancellation()
            val node = nodes[to] ?: return@withContext null
            node.requests++
            val reply = withContext(node.eventLoop) { node.replicator.answer(request) }
            node.sentRecords += reply.records.size
            delay(ONE_WAY_MILLISECONDS)
            if (!connected(from, to)) awaitCancellation()
            reply
        }

    private companion object {
        const val ONE_WAY_MILLISECONDS = 2L
    }
}
