package dev.goldcrestquay.benchmarks.policy

import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

/**
 * The limit: one central queue that knows every free slot and every fault as it happens.
 *
 * A slot is busy for the service time alone, the round trip to the target's data centre adds to the latency, and slow, failing,
 * cold or missing targets are left out.
 */
internal fun runOracle(
    deployment: PolicyDeployment,
    situation: Situation,
    seed: Long,
): PolicyRun {
    val run = PolicyRun()
    runTest(timeout = 10.minutes) {
        val now = { currentTime.toDouble() / SCALE }
        val random = Random(seed)
        val free = IntArray(deployment.targets) { deployment.slots }
        val waiting = ArrayDeque<Pair<Double, Int>>()

        fun choose(home: Int): Int? =
            free.indices
                .filter { free[it] > 0 && usable(situation, it, now()) }
                .minByOrNull { roundTrip(deployment, home, it % deployment.dataCentres) }

        fun start(
            arrived: Double,
            home: Int,
            target: Int,
        ) {
            free[target]--
            val wait = now() - arrived
            val roundTrip = roundTrip(deployment, home, target % deployment.dataCentres)
            launch {
                val service = exponential(deployment.meanService, random)
                pause(service)
                free[target]++
                if (arrived >= situation.warmUp) {
                    run.calls++
                    run.answered++
                    run.latencies += wait + service + roundTrip
                }
                waiting.firstOrNull()?.let { (next, nextHome) ->
                    choose(nextHome)?.let {
                        waiting.removeFirst()
                        start(next, nextHome, it)
                    }
                }
            }
        }

        arrivals(deployment, situation, now, random) {
            val home = random.nextInt(deployment.dataCentres)
            val target = if (waiting.isEmpty()) choose(home) else null
            when {
                target != null -> start(now(), home, target)
                waiting.size > deployment.targets * deployment.slots * MAXIMUM_QUEUE -> if (now() >= situation.warmUp) run.refuse()
                else -> waiting.addLast(now() to home)
            }
        }
    }
    return run
}

private fun PolicyRun.refuse() {
    calls++
    refused++
}

private fun usable(
    situation: Situation,
    target: Int,
    now: Double,
): Boolean {
    val cold = situation.coldFrom(target)?.let { now >= it && now < it + COLD_MILLISECONDS } ?: false
    return !cold && situation.slowdown(target, now) == 1.0 && !situation.failsFast(target, now) && !situation.gone(target, now)
}

private const val MAXIMUM_QUEUE = 10
private const val COLD_MILLISECONDS = 600.0
