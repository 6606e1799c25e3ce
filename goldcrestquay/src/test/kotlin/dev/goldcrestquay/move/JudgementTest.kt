package dev.goldcrestquay.move

import dev.goldcrestquay.contract.EvidenceRule
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

class JudgementTest {
    private fun count(
        calls: Long,
        failures: Long = 0,
        mean: Double = 10.0,
    ) = EvidenceCount(calls, failures, calls * mean, calls * mean * mean * 2)

    private fun targets(vararg counts: EvidenceCount) =
        counts.mapIndexed { index, count -> EvidenceKey("m", 1, "t$index", 0) to count }.toMap()

    private fun routes(vararg counts: EvidenceCount) =
        counts.mapIndexed { index, count -> EvidenceKey("m", 1, "t0", index) to count }.toMap()

    @Test
    fun `faults are told from noise`() {
        val old = targets(count(5000), count(5000), count(5000))
        val cases =
            listOf(
                Triple("too few", targets(count(5)), "too few"),
                Triple("as good", targets(count(500), count(500)), "healthy"),
                Triple("fails at once", targets(count(10, 10)), "faulty"),
                Triple("1 in 200 in sum", targets(count(2000, 10), count(2000, 11), count(2000, 10)), "faulty"),
                Triple("one unlucky call", targets(count(1000, 1)), "healthy"),
                Triple("slow", targets(count(200, mean = 30.0), count(200, mean = 30.0)), "faulty"),
                Triple("a little slow", targets(count(200, mean = 13.0), count(200, mean = 13.0)), "healthy"),
                Triple("one slow machine", targets(count(200), count(200), count(200, mean = 100.0)), "healthy"),
                Triple("one failing machine", targets(count(200), count(200), count(50, 50)), "healthy"),
                Triple("one bad route", routes(count(5000), count(40, 8)), "faulty"),
            )
        for ((name, new, expected) in cases) withClue(name) { judge(EvidenceRule(), old, new).word() shouldBe expected }
    }

    @Test
    fun `what hits old and new alike is not held against the new`() {
        val old = targets(count(2000, 200, mean = 80.0), count(2000, 200, mean = 80.0))
        judge(EvidenceRule(), old, targets(count(200, 21, mean = 85.0), count(200, 20, mean = 85.0))).word() shouldBe "healthy"
    }

    private fun Judgement.word() =
        when (this) {
            Judgement.TooFew -> "too few"
            Judgement.Healthy -> "healthy"
            is Judgement.Faulty -> "faulty"
        }
}
