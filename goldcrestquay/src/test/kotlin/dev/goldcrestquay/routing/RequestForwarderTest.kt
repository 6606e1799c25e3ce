package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.RequestKind
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.RoutePlan
import dev.goldcrestquay.fleetMember
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.Feed
import dev.goldcrestquay.machine.FleetMembers
import dev.goldcrestquay.machine.PlanRecord
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.machine.TargetPhase
import dev.goldcrestquay.move.VersionEvidence
import dev.goldcrestquay.overload.FleetPressure
import dev.goldcrestquay.overload.ScarceRoom
import dev.goldcrestquay.plannedRoute
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.routePlan
import dev.goldcrestquay.targetRecord
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class RequestForwarderTest {
    private val loads = HashMap<String, LoadSample>()
    private val sentTo = mutableListOf<String>()
    private val released = mutableListOf<String>()
    private val probed = mutableListOf<String>()
    private val unreachable = mutableSetOf<String>()
    private lateinit var state: SharedState
    private lateinit var stop: PlannedStop
    private var grace = 6.seconds

    private fun TestScope.forwarder(
        targets: List<RegisteredTarget>,
        probesPerSecond: Double = 60.0,
        plan: RoutePlan = routePlan(),
        room: ScarceRoom? = null,
    ): RequestForwarder<String, String> {
        val clock = { currentTime.milliseconds }
        state = SharedState(clock)
        state.apply(PlanRecord("config", 1, plan))
        state.markComplete(Feed.VERDICTS, 0)
        state.confirm(clock())
        targets.forEachIndexed { index, target -> state.apply(targetRecord(target, index.toLong())) }
        val random = Random(3)
        val members = { listOf("vm-1") }
        val table =
            TargetTable(state, "north", clock, random, ColdTargetLimiter("vm-1", clock, members), RequestLimitShares("vm-1", members))
        val probe: suspend (RegisteredTarget, Any) -> ProbeResult<String>? = { target, _ ->
            delay(1)
            probed += target.id
            if (target.id in unreachable) null else ProbeResult(loads[target.id] ?: LoadSample(0, 0, 4, 1.0, true), target.id)
        }
        val probes = ProbeBudget({ probesPerSecond }, clock) { 1 }
        val sampler = TargetSampler(clock, random, backgroundScope, probes, probe) { released += it }
        val budget = FleetRetryBudget({ RetryLimits(0.2, 56.0, 10.seconds) }, clock) { 1 }
        val peers = RelayPeers(FleetMembers(fleetMember(1), clock), random)
        val evidence = VersionEvidence(clock)
        stop = PlannedStop(clock) { grace }
        val tables =
            ForwarderTables(
                state,
                table,
                budget,
                SplitChooser(random),
                evidence,
                CrashTable(clock),
                TargetReach(clock),
                peers,
                stop,
                room = room,
            ) { }
        return RequestForwarder(tables, sampler, clock, random) { }
    }

    private fun TestScope.request(
        kind: RequestKind,
        deadline: Duration? = 3.seconds,
        send: suspend (RegisteredTarget) -> SendResult<String>,
    ): ForwardRequest<String, String> =
        ForwardRequest("r1", "shop.example", "/${kind.name.lowercase()}/x", 0, currentTime.milliseconds, deadline, { dispatch ->
            sentTo += dispatch.target.id
            send(dispatch.target)
        }) { 1 }

    private val planWithoutTimeout = routePlan(routes = listOf(plannedRoute(RequestKind.UNSAFE).copy(timeout = null)))
    private val threeTargets = listOf("a", "b", "c").map { registeredTarget(it) }

    @Test
    fun `a non-idempotent request is not retried after a broken exchange`() =
        runTest {
            listOf(RequestKind.UNSAFE, RequestKind.UPLOAD).forEach { kind ->
                sentTo.clear()
                val outcome = forwarder(threeTargets).forward(request(kind) { SendResult.Broken() })
                outcome shouldBe ForwardOutcome.Unknown(ResultCode.CONNECTION_LOST)
                sentTo shouldHaveSize 1
            }
        }

    /** The load pattern of a service whose targets are all slowed down: a free slot is found, but the answer would come too late. */
    @Test
    fun `a request that cannot end in its time is refused at once only where services share scarce room`() =
        runTest {
            val clock = { currentTime.milliseconds }
            threeTargets.forEach { loads[it.id] = LoadSample(0, 0, 4, 5.0, healthy = true) }
            val request = request(RequestKind.UNSAFE, 900.milliseconds) { SendResult.Replied("done") }
            forwarder(threeTargets).forward(request).shouldBeInstanceOf<ForwardOutcome.Answered<String>>()
            sentTo.clear()
            val room = ScarceRoom(clock, Random(1), FleetPressure(clock))
            val refused =
                forwarder(
                    threeTargets,
                    room = room,
                ).forward(request(RequestKind.UNSAFE, 900.milliseconds) { SendResult.Broken() })
            (refused as ForwardOutcome.NotRun).code shouldBe ResultCode.OVERLOADED
            (refused.retryAfter <= 300.milliseconds) shouldBe true
            sentTo.shouldBeEmpty()
        }

    @Test
    fun `requests that targets reject or do not answer in time count as pressure of their service`() =
        runTest {
            val clock = { currentTime.milliseconds }
            val pressure = FleetPressure(clock)
            threeTargets.forEach { loads[it.id] = LoadSample(3, 0, 4, 1.5, healthy = true) }
            val forwarder = forwarder(threeTargets, room = ScarceRoom(clock, Random(1), pressure))
            forwarder.forward(request(RequestKind.UNSAFE, 900.milliseconds) { SendResult.Refused(Refusal.SHEDDING) })
            val rejected =
                pressure
                    .loads()
                    .single()
                    .kinds
                    .single()
            rejected.arrivals shouldBe 1.0
            rejected.rejected shouldBe sentTo.size.toDouble()
            forwarder.forward(request(RequestKind.UNSAFE, 900.milliseconds) { awaitCancellation() })
            pressure
                .loads()
                .single()
                .kinds
                .single()
                .cut shouldBe 1.0
        }

    /** The load pattern of targets that have just failed while there is room: what ranks them last says nothing of their time. */
    @Test
    fun `a failure of the only target does not make its next request hopeless`() =
        runTest {
            val clock = { currentTime.milliseconds }
            val only = listOf(registeredTarget("only"))
            val forwarder = forwarder(only, room = ScarceRoom(clock, Random(1), FleetPressure(clock)))
            repeat(2) { forwarder.forward(request(RequestKind.UNSAFE) { SendResult.Broken() }) }
            sentTo shouldHaveSize 2
        }

    /** The load pattern of a change of leader while a target leaves: its health check says so before the records do. */
    @Test
    fun `while the records are old no request reaches a target that may have said that it leaves`() =
        runTest {
            val forwarder = forwarder(listOf(registeredTarget("leaving")) + registeredTarget("slowed"))
            loads["slowed"] = LoadSample(3, 0, 4, 8.0, healthy = true)
            forwarder.forward(request(RequestKind.UNSAFE) { SendResult.Replied("done") })
            loads["leaving"] = LoadSample(0, 0, 4, 1.0, healthy = false)
            delay(1600)
            forwarder.forward(request(RequestKind.UNSAFE) { SendResult.Replied("done") })
            sentTo shouldBe listOf("leaving", "slowed")
        }

    @Test
    fun `no request is sent to a target that leaves while the connection to it is opened`() =
        runTest {
            val forwarder = forwarder(threeTargets)
            val request =
                ForwardRequest<String, String>("r1", "shop.example", "/unsafe/x", 0, currentTime.milliseconds, 3.seconds, { dispatch ->
                    if (sentTo.isEmpty()) {
                        val left = dispatch.target.copy(phase = TargetPhase.DRAINING, heartbeat = 2)
                        state.apply(targetRecord(left, 10))
                    }
                    sentTo += dispatch.target.id
                    delay(300)
                    if (dispatch.confirm()) SendResult.Replied(dispatch.target.id) else SendResult.Refused(Refusal.WITHDRAWN)
                }) { 1 }
            val answer = forwarder.forward(request).shouldBeInstanceOf<ForwardOutcome.Answered<String>>()
            sentTo shouldHaveSize 2
            answer.reply shouldBe sentTo.last()
        }

    @Test
    fun `a request whose target leaves before it is sent goes to another one, without a retry`() =
        runTest {
            val forwarder = forwarder(threeTargets, plan = routePlan(routes = listOf(plannedRoute(RequestKind.UNSAFE, attempts = 1))))
            val outcome =
                forwarder.forward(
                    request(RequestKind.UNSAFE) {
                        if (sentTo.size < 3) SendResult.Refused(Refusal.WITHDRAWN) else SendResult.Replied("done")
                    },
                )
            outcome.shouldBeInstanceOf<ForwardOutcome.Answered<String>>()
            sentTo.toSet() shouldHaveSize 3
        }

    @Test
    fun `a target gets requests again once it names no limit`() =
        runTest {
            val forwarder = forwarder(threeTargets.take(1))

            suspend fun send(limit: Double?) =
                forwarder.forward(request(RequestKind.UNSAFE) { SendResult.Replied("done", requestLimit = limit) })
            send(limit = 1.0)
            send(limit = 1.0).shouldBeInstanceOf<ForwardOutcome.NotRun>().code shouldBe ResultCode.NO_TARGET
            delay(1500)
            send(limit = null).shouldBeInstanceOf<ForwardOutcome.Answered<String>>()
            send(limit = null).shouldBeInstanceOf<ForwardOutcome.Answered<String>>()
            sentTo shouldHaveSize 3
        }

    @Test
    fun `a non-idempotent request that a target refused is retried at another target`() =
        runTest {
            val outcome =
                forwarder(threeTargets).forward(
                    request(RequestKind.UNSAFE) {
                        if (sentTo.size ==
                            1
                        ) {
                            SendResult.Refused(Refusal.SHEDDING)
                        } else {
                            SendResult.Replied("done")
                        }
                    },
                )
            outcome.shouldBeInstanceOf<ForwardOutcome.Answered<String>>()
            sentTo.toSet() shouldHaveSize 2
        }

    /** Guards against requests that a planned stop cuts off at targets that run them. */
    @Test
    fun `a request that may outlast the stop is refused once callers have had time to go elsewhere, and others are served`() =
        runTest {
            listOf(
                StopCase(after = 0.seconds, deadline = 20.seconds, isServed = true),
                StopCase(after = 2.6.seconds, deadline = 20.seconds, isServed = true),
                StopCase(after = 3.seconds, deadline = 4.seconds, isServed = false),
                StopCase(after = 3.seconds, deadline = null, isServed = false),
                StopCase(after = 3.seconds, deadline = 2.seconds, isServed = true),
                StopCase(after = 5.seconds, deadline = 2.seconds, isServed = false),
                StopCase(after = 5.seconds, deadline = 500.milliseconds, isServed = true),
                StopCase(after = 3.seconds, grace = 10.seconds, deadline = 8.seconds, isServed = false),
                StopCase(after = 3.seconds, grace = 10.seconds, deadline = 6.seconds, isServed = true),
                StopCase(after = 1.seconds, grace = 1.5.seconds, deadline = 2.seconds, isServed = false),
                StopCase(after = 3.seconds, deadline = 20.seconds, timeout = 1.seconds, isServed = true),
            ).forEach { case ->
                grace = case.grace
                val route = plannedRoute(RequestKind.UNSAFE).copy(timeout = case.timeout)
                val forwarder = forwarder(threeTargets, plan = routePlan(routes = listOf(route)))
                sentTo.clear()
                stop.begin()
                delay(case.after)
                val outcome = forwarder.forward(request(RequestKind.UNSAFE, case.deadline) { SendResult.Replied("done") })
                withClue(case) {
                    sentTo.size shouldBe if (case.isServed) 1 else 0
                    if (!case.isServed) outcome shouldBe ForwardOutcome.NotRun(ResultCode.LEAVING, PlannedStop.RETRY_DELAY)
                    val refusal = forwarder.refuseEarly("r2", "shop.example", "/unsafe/x", case.deadline, currentTime.milliseconds)
                    (refusal == null) shouldBe case.isServed
                }
            }
        }

    /** Guards against a retry, or a send after a slow connection, that a planned stop cuts off. */
    @Test
    fun `a request that was taken in time is not sent so late that it may outlast the stop`() =
        runTest {
            listOf(Refusal.SHEDDING, Refusal.WITHDRAWN).forEach { refusal ->
                val forwarder = forwarder(threeTargets, plan = planWithoutTimeout)
                sentTo.clear()
                stop.begin()
                delay(2.7.seconds)
                val outcome =
                    forwarder.forward(
                        request(RequestKind.UNSAFE) {
                            delay(300)
                            SendResult.Refused(refusal)
                        },
                    )
                outcome shouldBe ForwardOutcome.NotRun(ResultCode.LEAVING, PlannedStop.RETRY_DELAY)
                sentTo shouldHaveSize 1
            }
        }

    @Test
    fun `a request whose connection opens so late that it may outlast the stop is not sent`() =
        runTest {
            val forwarder = forwarder(threeTargets, plan = planWithoutTimeout)
            stop.begin()
            delay(2.7.seconds)
            var isConfirmed = true
            val request =
                ForwardRequest<String, String>("r1", "shop.example", "/unsafe/x", 0, currentTime.milliseconds, 3.seconds, { dispatch ->
                    delay(300)
                    isConfirmed = dispatch.confirm()
                    SendResult.Refused(Refusal.WITHDRAWN)
                }) { 1 }
            forwarder.forward(request) shouldBe ForwardOutcome.NotRun(ResultCode.LEAVING, PlannedStop.RETRY_DELAY)
            isConfirmed shouldBe false
        }

    @Test
    fun `a request that was refused in every attempt is reported as not run`() =
        runTest {
            val outcome = forwarder(threeTargets).forward(request(RequestKind.UNSAFE) { SendResult.Refused(Refusal.SHEDDING) })
            outcome.shouldBeInstanceOf<ForwardOutcome.NotRun>().code shouldBe ResultCode.TARGET_REFUSED
            sentTo shouldHaveSize 2
        }

    @Test
    fun `a request with a broken attempt and a refused retry is reported as unknown`() =
        runTest {
            val outcome =
                forwarder(threeTargets).forward(
                    request(RequestKind.SAFE) { if (sentTo.size == 1) SendResult.Broken() else SendResult.Refused(Refusal.SHEDDING) },
                )
            outcome shouldBe ForwardOutcome.Unknown(ResultCode.CONNECTION_LOST)
        }

    @Test
    fun `an idempotent request is retried at another target after a failure`() =
        runTest {
            val outcome =
                forwarder(threeTargets).forward(
                    request(RequestKind.SAFE) {
                        if (sentTo.size ==
                            1
                        ) {
                            SendResult.Replied("bad", failed = true)
                        } else {
                            SendResult.Replied("good")
                        }
                    },
                )
            outcome.shouldBeInstanceOf<ForwardOutcome.Answered<String>>().reply shouldBe "good"
        }

    @Test
    fun `a target's failed reply reaches the caller when no retry is allowed`() =
        runTest {
            val outcome = forwarder(threeTargets).forward(request(RequestKind.UNSAFE) { SendResult.Replied("failed", failed = true) })
            outcome.shouldBeInstanceOf<ForwardOutcome.Answered<String>>().reply shouldBe "failed"
            sentTo shouldHaveSize 1
        }

    @Test
    fun `a crashed target that is still registered is not chosen again when the probe budget is empty`() =
        runTest {
            val forwarder = forwarder(threeTargets, probesPerSecond = 0.0)
            repeat(12) {
                forwarder.forward(
                    request(RequestKind.SAFE) { target ->
                        if (target.id == "a") SendResult.Refused(Refusal.CONNECTION_REFUSED) else SendResult.Replied("x")
                    },
                )
            }
            (sentTo.count { it == "a" } <= 1) shouldBe true
        }

    @Test
    fun `unreachable targets of a data centre that lost power do not use up the probe budget`() =
        runTest {
            val lost = (1..6).map { registeredTarget("lost-$it") }
            val distant = (1..6).map { registeredTarget("distant-$it", dataCentre = "south") }
            unreachable += lost.map { it.id }
            val forwarder = forwarder(lost + distant)
            repeat(3) { forwarder.forward(request(RequestKind.SAFE) { SendResult.Replied("x") }) }
            probed.clear()
            sentTo.clear()
            repeat(5) { forwarder.forward(request(RequestKind.SAFE) { SendResult.Replied("x") }) }
            probed.filter { it in unreachable }.shouldBeEmpty()
            sentTo.filter { it in unreachable }.shouldBeEmpty()
        }

    @Test
    fun `many concurrent requests after a start probe two targets each`() =
        runTest {
            val targets = (1..20).map { registeredTarget("t$it") }
            val forwarder = forwarder(targets)
            val calls = (1..20).map { async { forwarder.forward(request(RequestKind.SAFE) { SendResult.Replied("done") }) } }
            calls.awaitAll().forEach { it.shouldBeInstanceOf<ForwardOutcome.Answered<String>>() }
            probed.size shouldBeLessThan 20 * 3
        }

    @Test
    fun `the fastest of the probed targets gets the request`() =
        runTest {
            threeTargets.forEach { loads[it.id] = LoadSample(0, 0, 4, if (it.id == "b") 1.0 else 5.0, true) }
            forwarder(threeTargets).forward(request(RequestKind.SAFE) { SendResult.Replied("x") })
            sentTo shouldBe listOf("b")
            released.toSet() shouldBe setOf("a", "c")
        }

    @Test
    fun `a request that no target can answer in its time is refused at once`() =
        runTest {
            threeTargets.forEach { loads[it.id] = LoadSample(4, 40, 4, 5.0, true) }
            val outcome = forwarder(threeTargets).forward(request(RequestKind.UNSAFE, 500.milliseconds) { SendResult.Replied("x") })
            outcome.shouldBeInstanceOf<ForwardOutcome.NotRun>().code shouldBe ResultCode.OVERLOADED
            sentTo.shouldBeEmpty()
            (currentTime < 50) shouldBe true
        }

    @Test
    fun `the route's timeout ends the wait`() =
        runTest {
            val outcome = forwarder(threeTargets).forward(request(RequestKind.UNSAFE) { awaitCancellation() })
            outcome shouldBe ForwardOutcome.Unknown(ResultCode.DEADLINE_EXCEEDED)
            currentTime shouldBe 1500
        }

    @Test
    fun `a request on a route without a destination is not run, and the other routes work`() =
        runTest {
            val unreadable = plannedRoute(RequestKind.UNSAFE, destinations = emptyList())
            val forwarder = forwarder(threeTargets, plan = routePlan(routes = listOf(plannedRoute(), unreadable)))
            val refused = forwarder.forward(request(RequestKind.UNSAFE) { SendResult.Replied("x") })
            refused.shouldBeInstanceOf<ForwardOutcome.NotRun>().code shouldBe ResultCode.NO_TARGET
            forwarder.forward(request(RequestKind.SAFE) { SendResult.Replied("x") }).shouldBeInstanceOf<ForwardOutcome.Answered<String>>()
        }

    @Test
    fun `a download is retried at another target after a broken exchange`() =
        runTest {
            val request = request(RequestKind.DOWNLOAD) { if (sentTo.size == 1) SendResult.Broken() else SendResult.Replied("pack") }
            forwarder(threeTargets).forward(request).shouldBeInstanceOf<ForwardOutcome.Answered<String>>()
            sentTo.toSet() shouldHaveSize 2
        }

    /** The load pattern of downloads on targets that are half busy in every data centre: going elsewhere gains little and moves much. */
    @Test
    fun `downloads with large responses stay in their data centre while they meet their objective`() =
        runTest {
            val nearby = (1..2).map { registeredTarget("near-$it") }
            val distant = (1..8).map { registeredTarget("far-$it", dataCentre = "south") }
            nearby.forEach { loads[it.id] = LoadSample(2, 0, 4, 1.5, true) }
            val forwarder = forwarder(nearby + distant)
            repeat(40) {
                forwarder.forward(
                    request(RequestKind.DOWNLOAD) {
                        delay(100)
                        SendResult.Replied("pack", bodyBytes = 90_000)
                    },
                )
            }
            sentTo.takeLast(30).filter { it.startsWith("far") }.shouldBeEmpty()
        }

    @Test
    fun `nothing is sent for a caller who has left`() =
        runTest {
            val request = request(RequestKind.SAFE) { SendResult.Broken() }
            request.isCallerWaiting = false
            forwarder(threeTargets).forward(request) shouldBe ForwardOutcome.Unknown(ResultCode.CALL_CANCELLED)
            sentTo.shouldBeEmpty()
        }

    @Test
    fun `a request that matches no route is not run`() =
        runTest {
            val forwarder = forwarder(threeTargets)
            val unroutable =
                ForwardRequest<String, String>(
                    "r",
                    "shop.example",
                    "/none/",
                    0,
                    Duration.ZERO,
                    null,
                    { _ -> SendResult.Broken() },
                ) { 1 }
            forwarder.forward(unroutable).shouldBeInstanceOf<ForwardOutcome.NotRun>().code shouldBe ResultCode.NO_ROUTE
        }

    /** A request that arrives [after] the begin of a stop with [grace], and whether it is served. */
    private data class StopCase(
        val after: Duration,
        val deadline: Duration?,
        val isServed: Boolean,
        val grace: Duration = 6.seconds,
        val timeout: Duration? = null,
    )
}
