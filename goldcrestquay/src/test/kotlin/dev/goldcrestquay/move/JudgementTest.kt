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
    fun `faulty versions are told from random failures`() {
        val old = targets(count(5000), count(5000), count(5000))
        val cases =
            listOf(
                Triple("too few calls", targets(count(5)), "too few"),
                Triple("as healthy as the old version", targets(count(500), count(500)), "healthy"),
                Triple("fails every call", targets(count(10, 10)), "faulty"),
                Triple("1 call in 200 fails over all targets", targets(count(2000, 10), count(2000, 11), count(2000, 10)), "faulty"),
                Triple("one failed call", targets(count(1000, 1)), "healthy"),
                Triple("slow", targets(count(200, mean = 30.0), count(200, mean = 30.0)), "faulty"),
                Triple("slower, but within the tolerated factor", targets(count(200, mean = 13.0), count(200, mean = 13.0)), "healthy"),
                Triple("one slow target", targets(count(200), count(200), count(200, mean = 100.0)), "healthy"),
                Triple("one failing target", targets(count(200), count(200), count(50, 50)), "healthy"),
                Triple("one failing route", routes(count(5000), count(40, 8)), "faulty"),
            )
        for ((name, new, expected) in cases) withClue(name) { judge(EvidenceRule(), old, new).label() shouldBe expected }
    }

    @Test
    fun `errors and latency that affect both versions alike do not count against the new one`() {
        val old = targets(count(2000, 200, mean = 80.0), count(2000, 200, mean = 80.0))
        judge(EvidenceRule(), old, targets(count(200, 21, mean = 85.0), count(200, 20, mean = 85.0))).label() shouldBe "healthy"
    }

    private fun Judgement.label() =
        when (this) {
            Judgement.InsufficientCalls -> "too few"
            Judgement.Healthy -> "healthy"
            is Judgement.Faulty -> "faulty"
        }
}
