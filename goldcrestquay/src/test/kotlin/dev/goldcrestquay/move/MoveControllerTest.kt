package dev.goldcrestquay.move

import dev.goldcrestquay.ENVIRONMENT_WITH_MOVE
import dev.goldcrestquay.ManualClock
import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.contract.LogRecord
import dev.goldcrestquay.contract.MoveAdvance
import dev.goldcrestquay.contract.Verdict
import dev.goldcrestquay.contract.VerdictKind
import dev.goldcrestquay.contract.changeBetween
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

class MoveControllerTest {
    private val clock = ManualClock()
    private var wallClockMilliseconds = Instant.parse("2029-12-31T23:00:00Z").toEpochMilli()
    private val evidence = MoveEvidenceTable("x")
    private val controller = MoveController("x", evidence, clock) { wallClockMilliseconds }
    private var state = EnvironmentState().after(1, changeBetween("first", 0, null, ENVIRONMENT_WITH_MOVE))

    private fun recordCalls(
        target: String,
        calls: Int,
        failures: Int = 0,
    ) = repeat(calls) { evidence.record(EvidenceKey("desk-to-2", 1, target, 0), it < failures, 10.0) }

    private fun decide(leaseHeldUntil: Duration = 1.hours): List<LogRecord> = controller.decide(state, { leaseHeldUntil })

    private fun newVersionShare() = controller.versionShare(state, "desk")?.toShare

    private fun append(record: LogRecord) {
        state = state.after(state.offset + 1, record)
    }

    @Test
    fun `a healthy version passes all steps and finishes`() {
        recordCalls("old-1", 100)
        recordCalls("new-1", 100)
        val decisions = mutableListOf<Any?>()
        repeat(8) {
            decide().forEach { record ->
                decisions += (record as? MoveAdvance)?.step ?: (record as Verdict).kind
                append(record)
            }
            clock.now += 1.seconds
        }
        decisions shouldBe listOf(1, VerdictKind.FINISHED)
        newVersionShare() shouldBe 1.0
    }

    @Test
    fun `the hold time of a step starts with the step, not with sufficient evidence`() {
        decide() shouldBe emptyList()
        clock.now = 1.seconds
        recordCalls("new-1", 100)
        decide() shouldBe listOf(MoveAdvance("desk-to-2", 1, 1))
    }

    @Test
    fun `only the lease holder advances a move`() {
        recordCalls("new-1", 100)
        decide(Duration.ZERO)
        clock.now = 5.seconds
        decide(Duration.ZERO) shouldBe emptyList()
    }

    @Test
    fun `a faulty version is stopped before the log has a verdict`() {
        recordCalls("new-1", 10, failures = 10)
        val verdict = decide(Duration.ZERO).single() as Verdict
        verdict.kind shouldBe VerdictKind.TAKEN_BACK
        newVersionShare() shouldBe 0.0
        controller.stops().single().reason shouldBe "10 of 10 calls failed"
    }

    @Test
    fun `failures counted by a peer on several targets stop the version`() {
        evidence.merge(
            "y",
            List(2) { EvidenceRow(EvidenceKey("desk-to-2", 1, "new-${it + 1}", 0), EvidenceCount(100, 6, 1000.0, 20_000.0)) },
        )
        decide()
        newVersionShare() shouldBe 0.0
    }

    @Test
    fun `a peer's stop is adopted`() {
        controller.merge(listOf(MoveStop("desk-to-2", 1, "seen elsewhere")))
        newVersionShare() shouldBe 0.0
        (decide(Duration.ZERO).single() as Verdict).reason shouldBe "seen elsewhere"
    }

    @Test
    fun `a move that is not finished 2 seconds before its deadline is rolled back`() {
        wallClockMilliseconds = Instant.parse("2029-12-31T23:59:58Z").toEpochMilli()
        (decide(Duration.ZERO).single() as Verdict).kind shouldBe VerdictKind.TAKEN_BACK
    }

    @Test
    fun `the first verdict on the log overrides a local stop`() {
        controller.merge(listOf(MoveStop("desk-to-2", 1, "seen elsewhere")))
        append(Verdict("desk-to-2", 1, VerdictKind.FINISHED, "held", "paused controller"))
        append(Verdict("desk-to-2", 1, VerdictKind.TAKEN_BACK, "seen elsewhere", "x"))
        decide() shouldBe emptyList()
        newVersionShare() shouldBe 1.0
    }
}
