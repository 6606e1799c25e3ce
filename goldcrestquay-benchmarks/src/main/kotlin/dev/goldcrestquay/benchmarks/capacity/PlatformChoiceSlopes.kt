package dev.goldcrestquay.benchmarks.capacity

import dev.goldcrestquay.contract.PlannedService
import dev.goldcrestquay.contract.RequestLimits
import dev.goldcrestquay.contract.RoutePlan
import dev.goldcrestquay.link.asClock
import dev.goldcrestquay.machine.PlanRecord
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.machine.SocketAddress
import dev.goldcrestquay.machine.TargetPhase
import dev.goldcrestquay.machine.TargetRecord
import dev.goldcrestquay.routing.ColdTargetLimiter
import dev.goldcrestquay.routing.RequestLimitShares
import dev.goldcrestquay.routing.TargetNotice
import dev.goldcrestquay.routing.TargetNotices
import dev.goldcrestquay.routing.TargetTable
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val WARM_UP_CHOICES = 20_000
private const val MEASURED_CHOICES = 20_000
private const val ROUNDS = 5

/** The targets of which some say something of themselves: one in so many. */
private const val NOTICED_ONE_IN = 10

/** Measures the candidates of one request and the check before it is sent, by targets of a service, with and without notices of them. */
internal fun platformChoicePoints(): List<CapacityPoint> =
    listOf(10, 20, 40, 80).flatMap { targets ->
        listOf(
            CapacityPoint("candidates on the platform by targets", targets, measureCandidates(targets, hasNotices = false), "ns"),
            CapacityPoint("the same, one in $NOTICED_ONE_IN says something", targets, measureCandidates(targets, hasNotices = true), "ns"),
        )
    }

private fun measureCandidates(
    targets: Int,
    hasNotices: Boolean,
): Double {
    val clock = TimeSource.Monotonic.asClock()
    val notices = TargetNotices(clock)
    val registered = List(targets) { platformTarget("t-$it") }
    if (hasNotices) {
        registered.filterIndexed { index, _ -> index % NOTICED_ONE_IN == 0 }.forEachIndexed { index, target ->
            notices.record(target.id, if (index % 2 == 0) TargetNotice(isLeaving = true) else TargetNotice(silence = 1.hours))
        }
    }
    val state = SharedState(clock)
    state.apply(platformPlan())
    registered.forEachIndexed { index, target -> state.apply(TargetRecord(target.id, index.toLong(), target)) }
    val limiter = ColdTargetLimiter("vm", clock) { listOf("vm") }
    val table = TargetTable(state, "dc-0", clock, Random(1), limiter, RequestLimitShares("vm") { listOf("vm") }, notices)
    var next = 0
    var checksum = 0
    val choose = {
        checksum += table.candidates(SERVICE, emptySet()).size
        if (table.mayGetRequests(registered[next++ % targets])) checksum++
    }
    repeat(WARM_UP_CHOICES) { choose() }
    val times =
        List(ROUNDS) {
            val start = System.nanoTime()
            repeat(MEASURED_CHOICES) { choose() }
            (System.nanoTime() - start).toDouble() / MEASURED_CHOICES
        }
    check(checksum > 0)
    return times.sorted()[ROUNDS / 2]
}

private fun platformTarget(id: String) =
    RegisteredTarget(id, SERVICE, SocketAddress("10.0.0.1", 80), "dc-0", "v1", 4, TargetPhase.READY, Duration.ZERO, null, 1)

private fun platformPlan(): PlanRecord {
    val limits = RequestLimits(16_384, 67_108_864, 3.seconds, 15.seconds)
    return PlanRecord("config", 1, RoutePlan(1, emptyList(), listOf(PlannedService(SERVICE, "/health", 200, 7.0)), limits))
}

private const val SERVICE = "service"
