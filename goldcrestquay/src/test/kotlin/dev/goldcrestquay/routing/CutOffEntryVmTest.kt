package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.RequestKind
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.FakeFleet
import dev.goldcrestquay.machine.FakeStore
import dev.goldcrestquay.machine.Feed
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.planRecord
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.targetRecord
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Callers of entry VMs that lose the way to the targets, while callers, the store and the other entry VMs still reach them. */
@OptIn(ExperimentalCoroutinesApi::class)
class CutOffEntryVmTest {
    /** What becomes of the connections between a cut-off entry VM and the targets. */
    private enum class Cut { HANG, RESET, NEW_REFUSED }

    /** A request as its caller sees it. */
    private class Attempt(
        val entryVm: String,
        val at: Duration,
        val outcome: ForwardOutcome<String>,
    ) {
        val isServed get() = outcome is ForwardOutcome.Answered
    }

    private class Deployment(
        private val scope: TestScope,
        private val cut: Cut,
        targetCount: Int = 24,
        entryVmCount: Int = 19,
        private val reachable: Int = 0,
    ) {
        private val random = Random(7)
        private val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }
        private val clock = { scope.currentTime.milliseconds }
        private val forwarders = HashMap<String, RequestForwarder<String, String>>()
        private val running = HashMap<String, Int>()
        val fleet = FakeFleet(scope, store, dataCentres = 2)

        /** The names of the entry VMs that do not reach targets, but for the first few, and since when. */
        var cutOff = emptySet<String>()
        private var cutAt = Duration.ZERO

        val attempts = mutableListOf<Attempt>()

        /** How often each request ran, by its identifier, and over how many entry VMs it went. */
        val runs = HashMap<String, Int>()
        var relays = 0

        init {
            (1..targetCount).forEach { number ->
                val dataCentre = "dc-${number % 2}"
                store.write(Feed.TARGETS) { targetRecord(registeredTarget("t$number", dataCentre = dataCentre), it) }
            }
            (1..entryVmCount).forEach { number ->
                val node = fleet.start(number)
                forwarders[node.members.self.name] = forwarder(node)
            }
        }

        fun cutOff(names: Set<String>) {
            cutOff = names
            cutAt = clock()
        }

        private fun reaches(
            name: String,
            target: RegisteredTarget,
        ): Boolean = name !in cutOff || target.id.drop(1).toInt() <= reachable

        /** Some connections that are open live on until their idle timeout when only new ones are refused. */
        private fun hasOpenConnection(target: RegisteredTarget): Boolean =
            cut == Cut.NEW_REFUSED && clock() - cutAt < IDLE_TIMEOUT && target.id.drop(1).toInt() % 4 == 0

        private fun forwarder(node: FakeFleet.Node): RequestForwarder<String, String> {
            val self = node.members.self
            val names = { node.members.alive.map { it.name } }
            val limiter = ColdTargetLimiter(self.name, clock, names)
            val table = TargetTable(node.state, self.dataCentre, clock, random, limiter, RequestLimitShares(self.name, names))
            val reach = TargetReach(clock)
            val probe =
                reach.observe { target: RegisteredTarget, _: Any ->
                    delay(1)
                    when {
                        reaches(self.name, target) || hasOpenConnection(target) ->
                            ProbeResult(LoadSample(running[target.id] ?: 0, 0, 4, 1.0, true), target.id)
                        else -> {
                            if (cut == Cut.HANG) delay(CONNECT_TIMEOUT)
                            null
                        }
                    }
                }
            val monitor = TargetReachMonitor(reach, node.state, node.members, random, probe, { }, TargetNotices(clock), { })
            scope.backgroundScope.launch { monitor.run() }
            val sampler =
                TargetSampler<String>(clock, random, scope.backgroundScope, ProbeBudget({ 60.0 }, clock) { names().size }, probe) { }
            val budget = FleetRetryBudget({ RetryLimits(0.2, 56.0, 10.seconds) }, clock) { names().size }
            val peers = RelayPeers(node.members, random)
            val stop = PlannedStop(clock) { 6.seconds }
            val tables =
                ForwarderTables(node.state, table, budget, SplitChooser(random), node.evidence, node.crashes, reach, peers, stop) {
                    node.refresher.refreshIfOld()
                }
            return RequestForwarder(tables, sampler, clock, random) { }
        }

        private suspend fun send(
            name: String,
            id: String,
            dispatch: Dispatch<String>,
        ): SendResult<String> {
            val target = dispatch.target
            if (!reaches(name, target) && dispatch.connection == null) {
                if (cut == Cut.HANG) delay(CONNECT_TIMEOUT)
                return SendResult.Refused(Refusal.CONNECTION_REFUSED)
            }
            runs.merge(id, 1, Int::plus)
            running.merge(target.id, 1, Int::plus)
            delay(RUN_TIME)
            running.merge(target.id, -1, Int::plus)
            if (reaches(name, target) || hasOpenConnection(target)) return SendResult.Replied("done")
            if (cut == Cut.HANG) delay(10.seconds)
            return SendResult.Broken(ResultCode.CONNECTION_LOST)
        }

        private fun request(
            name: String,
            id: String,
            kind: RequestKind,
            origin: RelayTerms?,
            arrivedAt: Duration,
        ): ForwardRequest<String, String> =
            ForwardRequest(
                id = id,
                host = "shop.example",
                path = "/${kind.name.lowercase()}/x",
                bodyBytes = 0,
                arrivedAt = arrivedAt,
                deadline = 1500.milliseconds,
                send = { send(name, id, it) },
                relay = { peer, terms ->
                    relays++
                    check(origin == null) { "relayed twice" }
                    delay(1)
                    forwarders.getValue(peer.name).forward(request(peer.name, id, kind, terms, clock() - terms.elapsed))
                },
                origin = origin,
            ) { id.hashCode().toLong() }

        /** Sends requests to all entry VMs for [duration], one every [interval] to each. */
        suspend fun call(
            duration: Duration,
            interval: Duration,
        ) {
            val until = clock() + duration
            while (clock() < until) {
                for (name in forwarders.keys) {
                    val id = "${runs.size}-$name-${clock()}"
                    val kind = listOf(RequestKind.SAFE, RequestKind.SAFE, RequestKind.UNSAFE).random(random)
                    scope.launch {
                        val at = clock() + interval * random.nextDouble()
                        delay(at - clock())
                        attempts += Attempt(name, at, forwarders.getValue(name).forward(request(name, id, kind, null, at)))
                        if (kind == RequestKind.UNSAFE) unsafe += id
                    }
                }
                delay(interval)
            }
            delay(2.seconds)
        }

        /** The requests that may run once at most. */
        val unsafe = mutableListOf<String>()

        fun stop() = fleet.running.toList().forEach { fleet.kill(it) }
    }

    private fun List<Attempt>.servedShare(): Double = count { it.isServed }.toDouble() / size

    /** The names of the entry VMs that are cut off, with the number of targets that they still reach. */
    private class Extent(
        val name: String,
        val reachable: Int,
        val entryVms: (FakeFleet) -> List<FakeFleet.Node>,
    )

    private val extents =
        listOf(
            Extent("eight across the data centres", 0) { it.running.take(8) },
            Extent("a whole data centre", 0) { fleet -> fleet.running.filter { it.members.self.dataCentre == "dc-1" } },
            Extent("eight, but for two targets", 2) { it.running.take(8) },
        )

    @Test
    fun `callers of entry VMs that are cut off from the targets are served over the others`() =
        runTest {
            for (extent in extents) {
                for (cut in Cut.entries) {
                    val deployment = Deployment(this, cut, reachable = extent.reachable)
                    delay(5.seconds)
                    deployment.call(3.seconds, 200.milliseconds)
                    deployment.cutOff(extent.entryVms(deployment.fleet).map { it.members.self.name }.toSet())
                    val from = currentTime.milliseconds + CONTACT
                    deployment.call(12.seconds, 200.milliseconds)
                    val (atCutOff, atOthers) = deployment.attempts.filter { it.at > from }.partition { it.entryVm in deployment.cutOff }
                    withClue("${extent.name}, $cut: ${atCutOff.groupingBy { it.outcome }.eachCount()}") {
                        atCutOff.servedShare() shouldBeGreaterThan atOthers.servedShare() * 2 / 3
                        atCutOff.count { !it.isServed } shouldBeLessThanOrEqual 10 + atCutOff.size / 50
                        atOthers.servedShare() shouldBeGreaterThan 0.95
                    }
                    deployment.unsafe.filter { (deployment.runs[it] ?: 0) > 1 }.shouldBeEmpty()
                    deployment.stop()
                }
            }
        }

    @Test
    fun `an entry VM sends requests itself again once it reaches the targets`() =
        runTest {
            val deployment = Deployment(this, Cut.HANG)
            delay(5.seconds)
            deployment.cutOff(setOf("vm-4", "vm-5"))
            deployment.call(5.seconds, 200.milliseconds)
            deployment.relays shouldBeGreaterThan 10
            deployment.cutOff(emptySet())
            delay(2.seconds)
            val before = deployment.relays
            deployment.call(3.seconds, 200.milliseconds)
            deployment.relays shouldBe before
            deployment.stop()
        }

    /** The way to the targets is the same for all: that no target answers anybody says that the targets are down. */
    @Test
    fun `while no entry VM reaches a target nobody relays`() =
        runTest {
            for (cut in Cut.entries) {
                val deployment = Deployment(this, cut)
                delay(5.seconds)
                deployment.cutOff(
                    deployment.fleet.running
                        .map { it.members.self.name }
                        .toSet(),
                )
                deployment.call(12.seconds, 200.milliseconds)
                val before = deployment.relays
                deployment.call(3.seconds, 200.milliseconds)
                withClue(cut) { deployment.relays shouldBe before }
                deployment.stop()
            }
        }

    private companion object {
        /** The time after the beginning of a cut from which on callers are to be served. */
        val CONTACT = 3.seconds

        val CONNECT_TIMEOUT = 500.milliseconds
        val RUN_TIME = 120.milliseconds

        /** How long a connection that is not used stays open. */
        val IDLE_TIMEOUT = 6.seconds
    }
}
