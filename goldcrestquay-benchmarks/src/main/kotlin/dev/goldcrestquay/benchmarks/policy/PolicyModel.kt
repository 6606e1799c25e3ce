package dev.goldcrestquay.benchmarks.policy

import dev.goldcrestquay.contract.Outcome
import dev.goldcrestquay.contract.Service
import dev.goldcrestquay.contract.Target
import dev.goldcrestquay.link.LoadReport
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.routing.Call
import dev.goldcrestquay.routing.CallRouter
import dev.goldcrestquay.routing.RoutingEvent
import dev.goldcrestquay.routing.RoutingSettings
import dev.goldcrestquay.routing.ServiceConstraints
import dev.goldcrestquay.routing.ServiceTable
import dev.goldcrestquay.routing.TargetPolicy
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** A model millisecond is one hundred milliseconds of the test scheduler, which gives the model a resolution of 0.01 ms. */
internal const val TIME_SCALE = 100

/**
 * A service and its targets, on which policies are compared; all times are in model milliseconds.
 *
 * @property slots how many calls each target runs at a time.
 * @property crossDataCentreRoundTrip the network round trip between an entry VM and a target of another data centre.
 * @property meanServiceTime the mean of the exponentially distributed service time.
 * @property localRoundTrip the network round trip within a data centre.
 */
internal data class PolicyDeployment(
    val name: String,
    val targets: Int,
    val slots: Int,
    val crossDataCentreRoundTrip: Double,
    val meanServiceTime: Double = 10.0,
    val localRoundTrip: Double = 0.2,
    val dataCentres: Int = 3,
) {
    /** The calls a second that all slots together can run. */
    val capacity: Double get() = targets * slots * 1000.0 / meanServiceTime
}

/**
 * A load and the faults under which policies are compared; all times are in model milliseconds since the start.
 *
 * Functions take the index of a target, the time or both.
 *
 * @property load the rate of calls as a share of the capacity.
 * @property slowdown the factor by which a target's service time grows.
 * @property failsFast whether a target answers every call with an immediate error.
 * @property refusesConnections whether a target refuses connections.
 * @property turnsColdAt when a target restarts cold without warning, or null if it never does.
 * @property reportDelay the age of load reports when they arrive.
 * @property reportsNoLoad whether a target always reports that it holds no calls.
 * @property duration how long calls arrive.
 * @property measuredFrom when measurement starts; earlier calls are not counted.
 */
internal data class Situation(
    val name: String,
    val load: (Double) -> Double,
    val slowdown: (Int, Double) -> Double = { _, _ -> 1.0 },
    val failsFast: (Int, Double) -> Boolean = { _, _ -> false },
    val refusesConnections: (Int, Double) -> Boolean = { _, _ -> false },
    val turnsColdAt: (Int) -> Double? = { null },
    val reportDelay: Double = 0.0,
    val reportsNoLoad: (Int) -> Boolean = { false },
    val duration: Double = 8000.0,
    val measuredFrom: Double = 2000.0,
)

/** The counts and latencies of one policy in one situation. */
internal class PolicyRun {
    /** The latencies of answered calls, in model milliseconds. */
    val latencies = mutableListOf<Double>()
    var calls = 0
    var answered = 0

    /** The calls that got no answer, whatever the reason. */
    var unanswered = 0

    /** The attempts of measured calls that a target answered with an error. */
    var failed = 0

    /** The attempts of all calls, including those before measurement starts. */
    var attempts = 0

    /** The attempts sent to a failing target, among [attemptsDuringFailure]. */
    var attemptsAtFailingTarget = 0

    /** The attempts sent to any target while one fails and policies have had time to detect it. */
    var attemptsDuringFailure = 0

    /** The most calls that any cold target held at once. */
    var mostAtColdTarget = 0

    /** The latency, in model milliseconds, that the given share of the answered calls does not exceed; NaN without answered calls. */
    fun percentile(share: Double): Double {
        val sorted = latencies.sorted()
        return if (sorted.isEmpty()) Double.NaN else sorted[((sorted.size - 1) * share).toInt()]
    }
}

/** A simulated target that runs as many calls as it has slots and queues the others in order of arrival. */
internal class FakeTarget(
    val index: Int,
    val dataCentre: Int,
    private val deployment: PolicyDeployment,
    private val situation: Situation,
    private val random: Random,
    private val now: () -> Double,
) {
    private val slots = Semaphore(deployment.slots)
    private val inFlightHistory = ArrayDeque<Pair<Double, Int>>()
    private var coldCallsRun = 0

    /** The calls held, queued ones included. */
    var inFlight = 0
        private set

    private val coldSince: Double? = situation.turnsColdAt(index)

    val isCold: Boolean get() = coldSince != null && now() >= coldSince && coldCallsRun < CALLS_UNTIL_WARM

    /** Runs one call; returns false if the target failed it at once. */
    suspend fun run(): Boolean {
        if (situation.failsFast(index, now())) return false
        changeInFlight(1)
        try {
            slots.withPermit {
                val isOverloaded = isCold && inFlight > COLD_IN_FLIGHT_LIMIT
                val factor = situation.slowdown(index, now()) * (if (isOverloaded) COLD_OVERLOAD_SLOWDOWN else 1.0)
                modelDelay(exponential(deployment.meanServiceTime * factor, random))
            }
        } finally {
            changeInFlight(-1)
        }
        if (isCold) coldCallsRun++
        return true
    }

    /** The load report as of [Situation.reportDelay] ago; the start epoch changes when the target turns cold. */
    fun report(): LoadReport {
        val reportedInFlight = inFlightHistory.lastOrNull { it.first <= now() - situation.reportDelay }?.second ?: 0
        val startEpoch = if (coldSince != null && now() >= coldSince) 2L else 1L
        return LoadReport(
            if (situation.reportsNoLoad(index)) 0 else reportedInFlight,
            startEpoch,
            if (startEpoch == 1L) LONG_UPTIME_MILLISECONDS else 0,
        )
    }

    private fun changeInFlight(by: Int) {
        inFlight += by
        inFlightHistory.addLast(now() to inFlight)
        while (inFlightHistory.size > 1 && inFlightHistory[1].first <= now() - situation.reportDelay) inFlightHistory.removeFirst()
    }

    companion object {
        /** The calls that a cold target holds without slowing down. */
        const val COLD_IN_FLIGHT_LIMIT = 1

        /** The calls that a cold target runs before it is warm. */
        const val CALLS_UNTIL_WARM = 60

        /** The factor on the service time of a cold target that holds more than [COLD_IN_FLIGHT_LIMIT] calls. */
        private const val COLD_OVERLOAD_SLOWDOWN = 10.0
        private const val LONG_UPTIME_MILLISECONDS = 1_000_000L
    }
}

/** Draws from the exponential distribution with the given [mean]. */
internal fun exponential(
    mean: Double,
    random: Random,
): Double = -ln(1.0 - random.nextDouble()) * mean

/** Suspends for the given number of model milliseconds. */
internal suspend fun modelDelay(milliseconds: Double) = delay((milliseconds * TIME_SCALE).toLong())

/** Runs the decision code of [entryCount] entry VMs with [policy] against simulated targets; the same seed gives the same result. */
internal fun runPolicy(
    deployment: PolicyDeployment,
    situation: Situation,
    entryCount: Int,
    seed: Long,
    settings: RoutingSettings,
    policy: () -> TargetPolicy,
): PolicyRun {
    val run = PolicyRun()
    runTest(timeout = 10.minutes) {
        val now = { currentTime.toDouble() / TIME_SCALE }
        val random = Random(seed)
        val targets =
            List(deployment.targets) { FakeTarget(it, it % deployment.dataCentres, deployment, situation, Random(random.nextLong()), now) }
        val routers = List(entryCount) { entryRouter(it, deployment, settings, policy(), Random(random.nextLong()), run) }
        generateArrivals(deployment, situation, now, random) {
            val number = random.nextInt(entryCount)
            launch { call(routers[number], number, deployment, targets, now, run, situation) }
        }
    }
    return run
}

/** Returns the router of one entry VM; only entry VM 0 holds the lease, which allows it to use cold targets. */
private fun TestScope.entryRouter(
    number: Int,
    deployment: PolicyDeployment,
    settings: RoutingSettings,
    policy: TargetPolicy,
    random: Random,
    run: PolicyRun,
): CallRouter {
    val homeDataCentre = number % deployment.dataCentres
    val targets = List(deployment.targets) { Target("$it", "10.0.0.$it:80", "${it % deployment.dataCentres}", "1", deployment.slots) }
    val roundTrip = { target: Target -> modelDuration(roundTrip(deployment, homeDataCentre, target.dataCentre.toInt())) }
    val table = ServiceTable(Service("s", targets), settings, { currentTime.milliseconds }, random, policy, roundTrip)
    if (number > 0) table.applyConstraints(ServiceConstraints(leaseHeldUntil = -Duration.INFINITE))
    return CallRouter(table, settings, { currentTime.milliseconds }) { if (it is RoutingEvent.Sent) run.attempts++ }
}

/** Returns the duration on the test scheduler of the given number of model milliseconds. */
internal fun modelDuration(milliseconds: Double): Duration = (milliseconds * TIME_SCALE).milliseconds

/** Returns the network round trip between two data centres, given by index, in model milliseconds. */
internal fun roundTrip(
    deployment: PolicyDeployment,
    from: Int,
    to: Int,
): Double = if (from == to) deployment.localRoundTrip else deployment.crossDataCentreRoundTrip

/** Calls [onArrival] for each call of a Poisson process whose rate follows the load of [situation]. */
internal suspend fun generateArrivals(
    deployment: PolicyDeployment,
    situation: Situation,
    now: () -> Double,
    random: Random,
    onArrival: () -> Unit,
) {
    var nextArrival = 0.0
    while (nextArrival < situation.duration) {
        nextArrival += exponential(1000.0 / (deployment.capacity * situation.load(nextArrival)), random)
        modelDelay((nextArrival - now()).coerceAtLeast(0.0))
        onArrival()
    }
}

/** Makes one call through an entry VM's [router] and counts how it ended. */
private suspend fun call(
    router: CallRouter,
    entry: Int,
    deployment: PolicyDeployment,
    targets: List<FakeTarget>,
    now: () -> Double,
    run: PolicyRun,
    situation: Situation,
) {
    val start = now()
    val isMeasured = start >= situation.measuredFrom
    val outcome =
        router.call(Call("s", idempotent = true, deadline = modelDuration(start + DEADLINE_MILLISECONDS))) { target, _ ->
            val fakeTarget = targets[target.name.toInt()]
            countAttemptDuringFailure(fakeTarget, targets, situation, now(), run)
            val oneWay = roundTrip(deployment, entry % deployment.dataCentres, fakeTarget.dataCentre) / 2
            modelDelay(oneWay)
            if (situation.refusesConnections(fakeTarget.index, now())) return@call SendResult.Refused(Refusal.CONNECTION_REFUSED)
            if (fakeTarget.isCold) run.mostAtColdTarget = maxOf(run.mostAtColdTarget, fakeTarget.inFlight + 1)
            val succeeded = fakeTarget.run()
            val report = fakeTarget.report()
            modelDelay(oneWay)
            SendResult.Replied(Unit, failed = !succeeded, report = report).also { if (!succeeded && isMeasured) run.failed++ }
        }
    if (outcome is Outcome.Answered) outcome.finish(true)
    if (!isMeasured) return
    run.calls++
    if (outcome is Outcome.Answered) {
        run.answered++
        run.latencies += now() - start
    } else {
        run.unanswered++
    }
}

/** Counts an attempt that is sent while a target has been failing for at least [FAILURE_DETECTION_MILLISECONDS]. */
private fun countAttemptDuringFailure(
    fakeTarget: FakeTarget,
    targets: List<FakeTarget>,
    situation: Situation,
    now: Double,
    run: PolicyRun,
) {
    val latestDetectedStart = now - FAILURE_DETECTION_MILLISECONDS
    if (latestDetectedStart < 0 || targets.none { situation.failsFast(it.index, latestDetectedStart) }) return
    run.attemptsDuringFailure++
    if (situation.failsFast(fakeTarget.index, now)) run.attemptsAtFailingTarget++
}

/** The time from a call's arrival to its deadline, in model milliseconds. */
private const val DEADLINE_MILLISECONDS = 1000.0

/** The model milliseconds that a policy has to detect a failing target before attempts sent to that target count against the policy. */
private const val FAILURE_DETECTION_MILLISECONDS = 100.0
