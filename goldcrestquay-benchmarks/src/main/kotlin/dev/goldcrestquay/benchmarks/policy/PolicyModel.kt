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

/** One hundred milliseconds of the test scheduler stand for one of the model, so that a hundredth of a millisecond counts. */
internal const val SCALE = 100

/** A deployment to measure policies on; times in milliseconds. */
internal data class PolicyDeployment(
    val name: String,
    val targets: Int,
    val slots: Int,
    val crossRoundTrip: Double,
    val meanService: Double = 10.0,
    val localRoundTrip: Double = 0.2,
    val dataCentres: Int = 3,
) {
    /** The calls a second that all slots together can run. */
    val capacity: Double get() = targets * slots * 1000.0 / meanService
}

/**
 * A situation to measure policies in; times in milliseconds.
 *
 * @property load the share of the capacity, as a function of time.
 * @property slowdown how many times slower a target is at a time.
 * @property failsFast whether a target answers errors at once at a time.
 * @property gone whether a target refuses connections at a time.
 * @property coldFrom when a target turns cold without warning, or null.
 * @property reportDelay how old reports are when they arrive.
 * @property lies whether a target reports no load.
 */
internal data class Situation(
    val name: String,
    val load: (Double) -> Double,
    val slowdown: (Int, Double) -> Double = { _, _ -> 1.0 },
    val failsFast: (Int, Double) -> Boolean = { _, _ -> false },
    val gone: (Int, Double) -> Boolean = { _, _ -> false },
    val coldFrom: (Int) -> Double? = { null },
    val reportDelay: Double = 0.0,
    val lies: (Int) -> Boolean = { false },
    val duration: Double = 8000.0,
    val warmUp: Double = 2000.0,
)

/** What one policy did in one situation; latencies in milliseconds. */
internal class PolicyRun {
    val latencies = mutableListOf<Double>()
    var calls = 0
    var answered = 0
    var refused = 0
    var failed = 0
    var attempts = 0
    var attemptsAtFailing = 0
    var attemptsWhileFailing = 0
    var mostCold = 0

    fun percentile(share: Double): Double {
        val sorted = latencies.sorted()
        return if (sorted.isEmpty()) Double.NaN else sorted[((sorted.size - 1) * share).toInt()]
    }
}

/** A target with slots and a first-come queue under virtual time. */
internal class FakeTarget(
    val index: Int,
    val dataCentre: Int,
    private val deployment: PolicyDeployment,
    private val situation: Situation,
    private val random: Random,
    private val now: () -> Double,
) {
    private val slots = Semaphore(deployment.slots)
    private val history = ArrayDeque<Pair<Double, Int>>()
    private var ranCold = 0

    var held = 0
        private set

    private val coldSince: Double? = situation.coldFrom(index)

    val isCold: Boolean get() = coldSince != null && now() >= coldSince && ranCold < COLD_CALLS

    /** Runs one call; false when it failed at once. */
    suspend fun run(): Boolean {
        if (situation.failsFast(index, now())) return false
        changeHeld(1)
        try {
            slots.withPermit {
                val overwhelmed = isCold && held > COLD_BEARS
                val factor = situation.slowdown(index, now()) * (if (overwhelmed) COLD_SLOWDOWN else 1.0)
                pause(exponential(deployment.meanService * factor, random))
            }
        } finally {
            changeHeld(-1)
        }
        if (isCold) ranCold++
        return true
    }

    fun report(): LoadReport {
        val seen = history.lastOrNull { it.first <= now() - situation.reportDelay }?.second ?: 0
        val epoch = if (coldSince != null && now() >= coldSince) 2L else 1L
        return LoadReport(if (situation.lies(index)) 0 else seen, epoch, if (epoch == 1L) LONG_UP else 0)
    }

    private fun changeHeld(by: Int) {
        held += by
        history.addLast(now() to held)
        while (history.size > 1 && history[1].first <= now() - situation.reportDelay) history.removeFirst()
    }

    companion object {
        const val COLD_BEARS = 1
        const val COLD_CALLS = 60
        private const val COLD_SLOWDOWN = 10.0
        private const val LONG_UP = 1_000_000L
    }
}

internal fun exponential(
    mean: Double,
    random: Random,
): Double = -ln(1.0 - random.nextDouble()) * mean

internal suspend fun pause(milliseconds: Double) = delay((milliseconds * SCALE).toLong())

/** Runs [entries] entry VMs' decision code with [policy] against fake targets; the same seed gives the same run. */
internal fun runPolicy(
    deployment: PolicyDeployment,
    situation: Situation,
    entries: Int,
    seed: Long,
    settings: RoutingSettings,
    policy: () -> TargetPolicy,
): PolicyRun {
    val run = PolicyRun()
    runTest(timeout = 10.minutes) {
        val now = { currentTime.toDouble() / SCALE }
        val random = Random(seed)
        val targets =
            List(deployment.targets) { FakeTarget(it, it % deployment.dataCentres, deployment, situation, Random(random.nextLong()), now) }
        val routers = List(entries) { entry(it, deployment, settings, policy(), Random(random.nextLong()), run) }
        arrivals(deployment, situation, now, random) {
            val number = random.nextInt(entries)
            launch { call(routers[number], number, deployment, targets, now, run, situation) }
        }
    }
    return run
}

private fun TestScope.entry(
    number: Int,
    deployment: PolicyDeployment,
    settings: RoutingSettings,
    policy: TargetPolicy,
    random: Random,
    run: PolicyRun,
): CallRouter {
    val home = number % deployment.dataCentres
    val targets = List(deployment.targets) { Target("$it", "10.0.0.$it:80", "${it % deployment.dataCentres}", "1", deployment.slots) }
    val roundTrip = { target: Target -> modelDuration(roundTrip(deployment, home, target.dataCentre.toInt())) }
    val table = ServiceTable(Service("s", targets), settings, { currentTime.milliseconds }, random, policy, roundTrip)
    if (number > 0) table.applyConstraints(ServiceConstraints(leaseUntil = -Duration.INFINITE))
    return CallRouter(table, settings, { currentTime.milliseconds }) { if (it is RoutingEvent.Sent) run.attempts++ }
}

internal fun modelDuration(milliseconds: Double): Duration = (milliseconds * SCALE).milliseconds

internal fun roundTrip(
    deployment: PolicyDeployment,
    from: Int,
    to: Int,
): Double = if (from == to) deployment.localRoundTrip else deployment.crossRoundTrip

internal suspend fun arrivals(
    deployment: PolicyDeployment,
    situation: Situation,
    now: () -> Double,
    random: Random,
    arrive: () -> Unit,
) {
    var due = 0.0
    while (due < situation.duration) {
        due += exponential(1000.0 / (deployment.capacity * situation.load(due)), random)
        pause((due - now()).coerceAtLeast(0.0))
        arrive()
    }
}

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
    val counted = start >= situation.warmUp
    val outcome =
        router.call(Call("s", idempotent = true, deadline = modelDuration(start + DEADLINE))) { target, _ ->
            val fake = targets[target.name.toInt()]
            noteAttempt(fake, targets, situation, now(), run)
            val half = roundTrip(deployment, entry % deployment.dataCentres, fake.dataCentre) / 2
            pause(half)
            if (situation.gone(fake.index, now())) return@call SendResult.Refused(Refusal.CONNECTION_REFUSED)
            if (fake.isCold) run.mostCold = maxOf(run.mostCold, fake.held + 1)
            val good = fake.run()
            val report = fake.report()
            pause(half)
            SendResult.Replied(Unit, failed = !good, report = report).also { if (!good && counted) run.failed++ }
        }
    if (outcome is Outcome.Answered) outcome.finish(true)
    if (!counted) return
    run.calls++
    if (outcome is Outcome.Answered) {
        run.answered++
        run.latencies += now() - start
    } else {
        run.refused++
    }
}

private fun noteAttempt(
    fake: FakeTarget,
    targets: List<FakeTarget>,
    situation: Situation,
    now: Double,
    run: PolicyRun,
) {
    val settled = now - SETTLE
    if (settled < 0 || targets.none { situation.failsFast(it.index, settled) }) return
    run.attemptsWhileFailing++
    if (situation.failsFast(fake.index, now)) run.attemptsAtFailing++
}

private const val DEADLINE = 1000.0
private const val SETTLE = 100.0
