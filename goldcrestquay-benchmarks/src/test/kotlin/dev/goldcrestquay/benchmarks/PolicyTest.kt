package dev.goldcrestquay.benchmarks

import dev.goldcrestquay.benchmarks.policy.BOOKING_DESK
import dev.goldcrestquay.benchmarks.policy.PLACED_ENTRY_COUNT
import dev.goldcrestquay.benchmarks.policy.PolicyDeployment
import dev.goldcrestquay.benchmarks.policy.PolicyRun
import dev.goldcrestquay.benchmarks.policy.SHADE
import dev.goldcrestquay.benchmarks.policy.SITUATIONS
import dev.goldcrestquay.benchmarks.policy.Situation
import dev.goldcrestquay.benchmarks.policy.policyRows
import dev.goldcrestquay.benchmarks.policy.runOracle
import dev.goldcrestquay.benchmarks.policy.runPolicy
import io.kotest.assertions.withClue
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import org.junit.jupiter.api.Test

class PolicyTest {
    private val seed = 5L

    private fun situation(name: String): Situation = SITUATIONS.first { it.name == name }

    /** Runs the product's own policy with the number of entry VMs that placement gives the service. */
    private fun runOwnPolicy(
        deployment: PolicyDeployment,
        name: String,
    ): PolicyRun {
        val row = policyRows().first { it.entryCount == PLACED_ENTRY_COUNT }
        return runPolicy(deployment, situation(name), row.entryCount, seed, row.settings, row.policy)
    }

    @Test
    fun `99th percentile latency stays within a factor of the oracle's`() {
        val cases =
            listOf(
                Triple(SHADE, "load 85 %", 1.06),
                Triple(SHADE, "load 95 %", 1.15),
                Triple(BOOKING_DESK, "load 85 %", 1.12),
                Triple(BOOKING_DESK, "load 95 %", 1.25),
                Triple(SHADE, "2 slow targets, 50 %", 2.0),
                Triple(BOOKING_DESK, "2 slow targets, 50 %", 2.0),
            )
        for ((deployment, name, bound) in cases) {
            val oracle = runOracle(deployment, situation(name), seed).percentile(0.99)
            withClue("${deployment.name} $name") { runOwnPolicy(deployment, name).percentile(0.99) / oracle shouldBeLessThan bound }
        }
    }

    @Test
    fun `a target that fails fast gets under two percent of the attempts once the failure can be detected`() {
        val run = runOwnPolicy(SHADE, "1 fails fast, 70 %")
        run.attemptsAtFailingTarget.toDouble() / run.attemptsDuringFailure shouldBeLessThan 0.02
    }

    @Test
    fun `goodput under overload stays above nine tenths of the capacity`() {
        for (deployment in listOf(SHADE, BOOKING_DESK)) {
            val run = runOwnPolicy(deployment, "load 150 %")
            val seconds = situation("load 150 %").let { it.duration - it.measuredFrom } / 1000.0
            withClue(deployment.name) { run.answered / (deployment.capacity * seconds) shouldBeGreaterThan 0.9 }
        }
    }
}
