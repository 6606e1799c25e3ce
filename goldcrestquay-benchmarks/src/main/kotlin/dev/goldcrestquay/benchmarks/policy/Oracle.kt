package dev.goldcrestquay.benchmarks.policy

import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

/**
 * Runs an ideal balancer, against which policies are compared: one central queue that knows every free slot and every fault at once.
 *
 * A slot is busy for the service time alone; the network round trip to the target's data centre adds to the latency only. Targets that
 * are slow, failing, cold or unreachable get no calls.
 */
internal fun runOracle(
    deployment: PolicyDeployment,
    situation: Situation,
    seed: Long,
): PolicyRun {
    val run = PolicyRun()
    runTest(timeout = 10.minutes) {
        val now = { currentTime.toDouble() / TIME_SCALE }
        val random = Random(seed)
        val freeSlots = IntArray(deployment.targets) { deployment.slots }
        val waiting = ArrayDeque<Pair<Double, Int>>()

        fun chooseTarget(homeDataCentre: Int): Int? =
            freeSlots.indices
                .filter { freeSlots[it] > 0 && isUsable(situation, it, now()) }
                .minByOrNull { roundTrip(deployment, homeDataCentre, it % deployment.dataCentres) }

        fun startCall(
            arrivedAt: Double,
            homeDataCentre: Int,
            target: Int,
        ) {
            freeSlots[target]--
            val wait = now() - arrivedAt
            val roundTrip = roundTrip(deployment, homeDataCentre, target % deployment.dataCentres)
            launch {
                val service = exponential(deployment.meanServiceTime, random)
                modelDelay(service)
                freeSlots[target]++
                if (arrivedAt >= situation.measuredFrom) {
                    run.calls++
                    run.answered++
                    run.latencies += wait + service + roundTrip
                }
                waiting.firstOrNull()?.let { (nextArrivedAt, nextHomeDataCentre) ->
                    chooseTarget(nextHomeDataCentre)?.let {
                        waiting.removeFirst()
                        startCall(nextArrivedAt, nextHomeDataCentre, it)
                    }
                }
            }
        }

        generateArrivals(deployment, situation, now, random) {
            val homeDataCentre = random.nextInt(deployment.dataCentres)
            val target = if (waiting.isEmpty()) chooseTarget(homeDataCentre) else null
            when {
                target != null -> startCall(now(), homeDataCentre, target)
                waiting.size > deployment.targets * deployment.slots * MAXIMUM_QUEUE_PER_SLOT ->
                    if (now() >= situation.measuredFrom) run.countRefusal()
                else -> waiting.addLast(now() to homeDataCentre)
            }
        }
    }
    return run
}

private fun PolicyRun.countRefusal() {
    calls++
    unanswered++
}

private fun isUsable(
    situation: Situation,
    target: Int,
    now: Double,
): Boolean {
    val cold = situation.turnsColdAt(target)?.let { now >= it && now < it + COLD_MILLISECONDS } ?: false
    return !cold &&
        situation.slowdown(target, now) == 1.0 &&
        !situation.failsFast(target, now) &&
        !situation.refusesConnections(target, now)
}

/** The number of waiting calls per slot of the service above which the oracle refuses further calls. */
private const val MAXIMUM_QUEUE_PER_SLOT = 10

/** How long the oracle sends no calls to a target that turned cold, in model milliseconds. */
private const val COLD_MILLISECONDS = 600.0
