package dev.goldcrestquay.routing

import io.kotest.assertions.withClue
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionTest {
    private fun view(
        expected: Int,
        excess: Int,
        objectiveLeft: Int,
        timeLeft: Int = 3000,
        priority: Int = 1,
    ) = AdmissionView(expected.milliseconds, excess, objectiveLeft.milliseconds, timeLeft.milliseconds, priority)

    @Test
    fun `a request takes a free slot but joins a queue only within its objective`() {
        listOf(
            view(expected = 160, excess = 0, objectiveLeft = 400) to true,
            view(expected = 800, excess = 0, objectiveLeft = 400) to true,
            view(expected = 390, excess = 2, objectiveLeft = 400) to true,
            view(expected = 390, excess = 2, objectiveLeft = 400, priority = 2) to false,
            view(expected = 330, excess = 2, objectiveLeft = 400, priority = 2) to true,
            view(expected = 600, excess = 4, objectiveLeft = 400) to false,
            view(expected = 300, excess = 1, objectiveLeft = -100) to true,
            view(expected = 300, excess = 3, objectiveLeft = -100) to false,
            view(expected = 700, excess = 1, objectiveLeft = 900, timeLeft = 500) to false,
        ).forEach { (view, admitted) -> withClue(view) { (admit(view) == Admission.Admitted) shouldBe admitted } }
    }

    /**
     * Simulates a burst of twice the capacity and returns the share of requests answered within their objective.
     *
     * 20 targets have 4 slots each, a request takes 160 ms, and the objective is 400 ms.
     */
    private fun shareInObjective(admission: (AdmissionView) -> Boolean): Double {
        val random = Random(11)
        val freeAt = Array(20) { DoubleArray(4) }
        var inObjective = 0
        val arrivals = 4000
        repeat(arrivals) { number ->
            val now = number * 1.0
            val probed = freeAt.indices.shuffled(random).take(4)
            val target = probed.minBy { freeAt[it].min() }
            val slot = freeAt[target].indices.minBy { freeAt[target][it] }
            val wait = (freeAt[target][slot] - now).coerceAtLeast(0.0)
            val excess = if (wait == 0.0) 0 else (wait / 40).toInt() + 1
            val expected = (wait + 160).milliseconds
            if (admission(AdmissionView(expected, excess, 400.milliseconds, 3.seconds, 1))) {
                freeAt[target][slot] = now + wait + 160
                if (expected <= 400.milliseconds) inObjective++
            }
        }
        return inObjective.toDouble() / arrivals
    }

    @Test
    fun `in a burst of twice the capacity the targets process requests that meet their objective`() {
        val admitted = shareInObjective { admit(it) == Admission.Admitted }
        val unlimited = shareInObjective { true }
        admitted shouldBeGreaterThan 0.45
        admitted shouldBeGreaterThan unlimited * 2
    }

    @Test
    fun `the age of a caller is estimated from the deadline that it states`() {
        val ages = CallerAgeEstimator()
        ages.estimate("route", 3.seconds) shouldBe Duration.ZERO
        ages.estimate("route", 2200.milliseconds) shouldBe 800.milliseconds
        ages.estimate("other", 2200.milliseconds) shouldBe Duration.ZERO
        ages.estimate("route", null) shouldBe Duration.ZERO
    }

    @Test
    fun `probes of all entry VMs together stay under the targets' rate over a minute`() {
        var now = Duration.ZERO
        val members = 13
        val budgets = List(members) { ProbeBudget({ 60.0 }, { now }) { members } }
        var sent = 0
        val seconds = 60
        repeat(seconds * 1000) { tick ->
            now += 1.milliseconds
            sent += budgets[tick % members].take("shop", targets = 20, wanted = 16)
        }
        sent shouldBeLessThanOrEqual 60 * 20 * seconds
    }

    @Test
    fun `under lasting overload every request can still probe a target`() {
        var now = Duration.ZERO
        val budget = ProbeBudget({ 60.0 }, { now }) { 13 }
        var requestsWithoutProbe = 0
        repeat(27 * 20) {
            now += (1000 / 27).milliseconds
            val left = budget.fillLevel("shop", 20)
            val wanted =
                if (left > 0.5) {
                    16
                } else if (left > 0.25) {
                    4
                } else {
                    2
                }
            if (budget.take("shop", 20, wanted) == 0) requestsWithoutProbe++
        }
        requestsWithoutProbe shouldBe 0
    }
}
