package dev.goldcrestquay.machine

import dev.goldcrestquay.contract.RequestKind
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.planRecord
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.routing.ColdTargetLimiter
import dev.goldcrestquay.routing.FleetRetryBudget
import dev.goldcrestquay.routing.ForwardRequest
import dev.goldcrestquay.routing.ForwarderTables
import dev.goldcrestquay.routing.LoadSample
import dev.goldcrestquay.routing.PlannedStop
import dev.goldcrestquay.routing.ProbeBudget
import dev.goldcrestquay.routing.ProbeResult
import dev.goldcrestquay.routing.RelayPeers
import dev.goldcrestquay.routing.RequestForwarder
import dev.goldcrestquay.routing.RequestLimitShares
import dev.goldcrestquay.routing.RetryLimits
import dev.goldcrestquay.routing.SplitChooser
import dev.goldcrestquay.routing.TargetReach
import dev.goldcrestquay.routing.TargetSampler
import dev.goldcrestquay.routing.TargetTable
import dev.goldcrestquay.targetRecord
import io.kotest.assertions.assertSoftly
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards that no request is placed by records that are older than the bounds of the changes in them, however they came to be old. */
@OptIn(ExperimentalCoroutinesApi::class)
class OldRecordsTest {
    private enum class Departure(
        val record: (Long) -> SharedRecord,
    ) {
        REPORTED({ targetRecord(registeredTarget("left", TargetPhase.DRAINING, heartbeat = 2), it) }),
        UNREPORTED({ TargetRecord("left", it, null) }),
    }

    /** Trouble in a fleet that goes on for some seconds; returns the entry VM that it is about. */
    private class Trouble(
        val name: String,
        val members: Int = 13,
        val dataCentres: Int = 1,
        val strike: suspend TestScope.(FakeFleet, FakeStore) -> FakeFleet.Node,
    )

    private val troubles =
        listOf(
            Trouble("none") { fleet, _ -> fleet.follower() },
            Trouble("a follower that stalls") { fleet, _ -> fleet.follower().also { pause(it, STALL) } },
            Trouble("a follower that stalls again and again") { fleet, _ ->
                fleet.follower().also { launch { repeat(6) { _ -> stall(it, 600.milliseconds).also { delay(60) } } } }
            },
            Trouble("a follower that stalls for less than a request may take") { fleet, _ ->
                fleet.follower().also { pause(it, SHORT_STALL, after = 1.seconds) }
            },
            Trouble("the leader that stalls") { fleet, _ -> fleet.leaders.single().also { pause(it, STALL) } },
            Trouble("a follower of a leader that stalls") { fleet, _ ->
                pause(fleet.leaders.single(), STALL)
                fleet.follower()
            },
            Trouble("a follower of a leader that the store does not answer") { fleet, store ->
                val leader = fleet.leaders.single()
                store.access = { if (it == leader.members.self.name) Access.SILENT else Access.SERVED }
                fleet.follower()
            },
            Trouble("a follower that reaches no peer") { fleet, _ ->
                fleet.follower().also { node ->
                    val address = node.members.self.peerAddress
                    fleet.connected = { from, to -> from != address && to != address }
                }
            },
            Trouble("an entry VM that starts after the store went silent to the leader", members = 5) { fleet, store ->
                val leader = fleet.leaders.single()
                store.access = { if (it == leader.members.self.name) Access.SILENT else Access.SERVED }
                delay(1200)
                fleet.start(6)
            },
            Trouble("a member of a tree whose source stalls", members = 40, dataCentres = 4) { fleet, _ ->
                val leader = fleet.leaders.single()
                val sources = fleet.running.filter { it.requests > 40 && it !== leader }
                val firstSource = sources.first().members.self
                sources.forEach { pause(it, STALL) }
                fleet.running.first { it !in sources && it.members.self.dataCentre == firstSource.dataCentre }
            },
        )

    private fun FakeFleet.follower() = running.first { it !in leaders }

    private fun TestScope.pause(
        node: FakeFleet.Node,
        duration: Duration,
        after: Duration = BEFORE_STALL,
    ) = backgroundScope.launch {
        delay(after)
        stall(node, duration)
    }

    private suspend fun stall(
        node: FakeFleet.Node,
        duration: Duration,
    ) {
        node.eventLoop.isPaused = true
        delay(duration)
        node.eventLoop.isPaused = false
    }

    /** A request and when it reached its target. */
    private data class Arrival(
        val target: String,
        val planVersion: Long,
        val at: Duration,
    )

    /** Sends requests through one entry VM, and records where and when they arrive. */
    private class Caller(
        private val scope: TestScope,
        private val node: FakeFleet.Node,
    ) {
        val arrivals = mutableListOf<Arrival>()
        private val clock = { scope.currentTime.milliseconds }
        private val random = Random(3)
        private val forwarder = forwarder()

        private fun forwarder(): RequestForwarder<String, String> {
            val self = node.members.self
            val members = { listOf(self.name) }
            val limiter = ColdTargetLimiter(self.name, clock, members)
            val table = TargetTable(node.state, self.dataCentre, clock, random, limiter, RequestLimitShares(self.name, members))
            val probe: suspend (RegisteredTarget, Any) -> ProbeResult<String>? = { target, _ ->
                delay(1)
                ProbeResult(LoadSample(0, 0, 4, 1.0, true), target.id)
            }
            val sampler = TargetSampler(clock, random, scope.backgroundScope, ProbeBudget({ 60.0 }, clock) { 1 }, probe) { }
            val budget = FleetRetryBudget({ RetryLimits(0.2, 56.0, 10.seconds) }, clock) { 1 }
            val peers = RelayPeers(node.members, random)
            val tables =
                ForwarderTables(
                    node.state,
                    table,
                    budget,
                    SplitChooser(random),
                    node.evidence,
                    node.crashes,
                    TargetReach(clock),
                    peers,
                    PlannedStop(clock) { 6.seconds },
                    refreshRecords = node.refresher::refreshIfOld,
                )
            return RequestForwarder(tables, sampler, clock, random) { }
        }

        /** Sends a request every [interval] for [duration]. */
        suspend fun send(
            interval: Duration,
            duration: Duration,
        ) {
            val until = clock() + duration
            while (clock() < until) {
                val arrivedAt = clock()
                scope.backgroundScope.launch(node.eventLoop) { forwarder.forward(request(arrivedAt)) }
                delay(interval)
            }
        }

        private val path = "/${RequestKind.SAFE.name.lowercase()}/x"

        private fun request(arrivedAt: Duration) =
            ForwardRequest<String, String>("r", "shop.example", path, 0, arrivedAt, 10.seconds, { dispatch ->
                val planVersion = checkNotNull(node.state.routes).plan.version
                delay(CONNECT_TIME)
                if (dispatch.confirm()) {
                    arrivals += Arrival(dispatch.target.id, planVersion, clock())
                    SendResult.Replied("done")
                } else {
                    SendResult.Refused(Refusal.WITHDRAWN)
                }
            }) { 1 }
    }

    /** The requests that reach the target that leaves, or are handled by the old plan, 2 s and more after the change. */
    private suspend fun TestScope.lateRequests(
        trouble: Trouble,
        departure: Departure,
        untilChange: Duration,
    ): List<Arrival> {
        val store = FakeStore()
        store.write(Feed.OPERATOR) { planRecord(1, it) }
        listOf("left", "stays").forEach { id -> store.write(Feed.TARGETS) { targetRecord(registeredTarget(id), it) } }
        val fleet = FakeFleet(this, store, dataCentres = trouble.dataCentres)
        repeat(trouble.members) { fleet.start(it + 1) }
        delay(5.seconds)
        launch {
            delay(untilChange)
            store.write(Feed.TARGETS, departure.record)
            store.write(Feed.OPERATOR) { planRecord(2, it) }
        }
        val changedAt = currentTime.milliseconds + untilChange
        val caller = Caller(this, trouble.strike(this, fleet, store))
        caller.send(20.milliseconds, 5.seconds)
        fleet.running.toList().forEach { fleet.kill(it) }
        return caller.arrivals.filter { it.at >= changedAt + BOUND && (it.target == "left" || it.planVersion == 1L) }
    }

    @TestFactory
    fun `no request is placed by records from more than two seconds before`(): List<DynamicTest> =
        troubles.map { trouble ->
            dynamicTest(trouble.name) {
                runTest {
                    assertSoftly {
                        for (departure in Departure.entries) {
                            for (untilChange in 0..1600 step 100) {
                                withClue("${trouble.name}, $departure after $untilChange ms") {
                                    lateRequests(trouble, departure, untilChange.milliseconds).take(2).shouldBeEmpty()
                                }
                            }
                        }
                    }
                }
            }
        }

    @Test
    fun `an answer of the store that is handled late does not make the records young`() =
        runTest {
            for (untilStall in 0..900 step 50) {
                val store = FakeStore()
                store.write(Feed.OPERATOR) { planRecord(1, it) }
                val fleet = FakeFleet(this, store)
                repeat(3) { fleet.start(it + 1) }
                delay(5000L + untilStall)
                val leader = fleet.leaders.single()
                leader.eventLoop.isPaused = true
                delay(1200)
                store.write(Feed.OPERATOR) { planRecord(2, it) }
                val changedAt = currentTime.milliseconds
                delay(50)
                leader.eventLoop.isPaused = false
                repeat(100) {
                    delay(1)
                    val outdated =
                        fleet.running.filter {
                            it.state.routes
                                ?.plan
                                ?.version == 1L
                        }
                    outdated.filter { checkNotNull(it.state.confirmedAt) > changedAt }.shouldBeEmpty()
                }
                fleet.running.toList().forEach { fleet.kill(it) }
            }
        }

    private companion object {
        /** The time within which the users want a plan in force and a leaving target unused. */
        val BOUND = 2.seconds

        /** Requests are under way when an entry VM stalls. */
        val BEFORE_STALL = 400.milliseconds

        /** Longer than the outage of the store after which targets register again. */
        val STALL = 3400.milliseconds

        val SHORT_STALL = 1350.milliseconds

        /** The time that opening a connection to a busy target takes. */
        val CONNECT_TIME = 300.milliseconds
    }
}
