package dev.goldcrestquay.spread

import dev.goldcrestquay.contract.PlannedRoute
import dev.goldcrestquay.contract.RequestKind
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.fleetMember
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.Feed
import dev.goldcrestquay.machine.FleetMembers
import dev.goldcrestquay.machine.PlanRecord
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.move.VersionEvidence
import dev.goldcrestquay.plannedRoute
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.routePlan
import dev.goldcrestquay.routing.ColdTargetLimiter
import dev.goldcrestquay.routing.CrashTable
import dev.goldcrestquay.routing.FleetRetryBudget
import dev.goldcrestquay.routing.ForwardEvent
import dev.goldcrestquay.routing.ForwardOutcome
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
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A target that works on its requests in virtual time: each takes its work times the present slowdown. */
internal class ReplayedTarget(
    val registered: RegisteredTarget,
    private val random: Random,
) {
    var slowdown = 1.0

    /** Slows the target down without showing in its load. */
    var hiddenSlowdown = 1.0
    var rejectedShare = 0.0
    var running = 0
        private set
    var arrivals = 0
        private set
    var rejections = 0
        private set
    var cancelled = 0
        private set

    val load get() = LoadSample(running, 0, registered.slots, slowdown, healthy = true)

    suspend fun serve(work: Duration): SendResult<String> {
        arrivals++
        if (random.nextDouble() < rejectedShare) {
            rejections++
            return SendResult.Refused(Refusal.SHEDDING)
        }
        return run(work)
    }

    /** Runs a request that was accepted. */
    suspend fun run(work: Duration): SendResult<String> {
        running++
        var left = work
        try {
            while (left > Duration.ZERO) {
                delay(STEP)
                left -= STEP / slowdown / hiddenSlowdown / maxOf(1.0, running.toDouble() / registered.slots)
            }
        } catch (exception: CancellationException) {
            cancelled++
            throw exception
        } finally {
            running--
        }
        return SendResult.Replied(registered.id)
    }

    private companion object {
        val STEP = 3.milliseconds
    }
}

/** One entry VM in front of [targets] of one service, without a network; the test is single-threaded. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ReplayedService(
    private val scope: TestScope,
    targetCount: Int,
    private val route: PlannedRoute = plannedRoute(RequestKind.SAFE, attempts = 3).copy(latencyObjective = 206.milliseconds),
    slots: Int = 2,
    retryLimits: RetryLimits = RetryLimits(0.2, 3.0, 10.seconds),
    steersByRejections: Boolean = false,
) {
    /** What happens, whatever is decided. */
    val random = Random(7)
    private val decisionRandom = Random(3)
    val events = mutableListOf<ForwardEvent>()
    val targets =
        List(targetCount) { ReplayedTarget(registeredTarget("t$it").copy(slots = slots), Random(it)) }.associateBy { it.registered.id }
    val budget = FleetRetryBudget({ retryLimits }, ::now) { 1 }
    val crashes = CrashTable(::now)
    val probed = mutableListOf<String>()

    /** Called while a target is probed. */
    var onProbe: () -> Unit = {}
    val table: TargetTable
    val forwarder: RequestForwarder<String, String>

    init {
        val state = SharedState(::now)
        state.apply(PlanRecord("config", 1, routePlan(routes = listOf(route))))
        state.markComplete(Feed.VERDICTS, 0)
        state.confirm(now())
        targets.values.forEachIndexed { index, target -> state.apply(targetRecord(target.registered, index.toLong())) }
        val members = { listOf("vm-1") }
        table =
            TargetTable(
                state,
                "north",
                ::now,
                decisionRandom,
                ColdTargetLimiter("vm-1", ::now, members),
                RequestLimitShares("vm-1", members),
            )
        val probeBudget = ProbeBudget({ 60.0 }, ::now) { 1 }
        val sampler =
            TargetSampler<String>(::now, decisionRandom, scope.backgroundScope, probeBudget, { target, _ ->
                probed += target.id
                delay(2)
                onProbe()
                ProbeResult(targets.getValue(target.id).load, target.id)
            }) { }
        val peers = RelayPeers(FleetMembers(fleetMember(1), ::now), decisionRandom)
        val stop = PlannedStop(::now) { 6.seconds }
        val tables =
            ForwarderTables(
                state,
                table,
                budget,
                SplitChooser(decisionRandom),
                VersionEvidence(::now),
                crashes,
                TargetReach(::now),
                peers,
                stop,
                steersByRejections = { steersByRejections },
            ) {
            }
        forwarder = RequestForwarder(tables, sampler, ::now, decisionRandom) { events += it }
    }

    fun now(): Duration = scope.currentTime.milliseconds

    /** Forwards one request that takes [work] at a target. */
    suspend fun forward(
        deadline: Duration? = 615.milliseconds,
        send: suspend (ReplayedTarget) -> SendResult<String> = { it.serve(57.milliseconds) },
    ): ForwardOutcome<String> =
        forwarder.forward(
            ForwardRequest("r", route.host, route.pathPrefix + "x", 0, now(), deadline, { send(targets.getValue(it.target.id)) }) { 1 },
        )

    /** Sends [count] requests at [perSecond]; returns the outcomes with the time that each took. */
    suspend fun play(
        count: Int,
        perSecond: Double,
    ): List<Pair<ForwardOutcome<String>, Duration>> {
        val results = mutableListOf<Pair<ForwardOutcome<String>, Duration>>()
        val jobs =
            List(count) {
                delay((2 * random.nextDouble() / perSecond).seconds)
                scope.launch {
                    val startedAt = now()
                    results += forward() to now() - startedAt
                }
            }
        jobs.forEach { it.join() }
        return results
    }

    companion object {
        /** The outcome of a request that a target works on when the caller's deadline passes. */
        val PASSED_DEADLINE = ForwardOutcome.Unknown(ResultCode.DEADLINE_EXCEEDED)
    }
}
