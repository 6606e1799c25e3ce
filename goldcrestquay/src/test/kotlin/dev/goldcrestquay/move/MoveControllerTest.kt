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
    private var wall = Instant.parse("2029-12-31T23:00:00Z").toEpochMilli()
    private val evidence = MoveEvidenceTable("x")
    private val controller = MoveController("x", evidence, clock) { wall }
    private var state = EnvironmentState().after(1, changeBetween("first", 0, null, ENVIRONMENT_WITH_MOVE))

    private fun record(
        target: String,
        calls: Int,
        failures: Int = 0,
    ) = repeat(calls) { evidence.record(EvidenceKey("desk-to-2", 1, target, 0), it < failures, 10.0) }

    private fun decide(heldUntil: Duration = 1.hours): List<LogRecord> = controller.decide(state, { heldUntil })

    private fun share() = controller.versionShare(state, "desk")?.toShare

    private fun log(record: LogRecord) {
        state = state.after(state.offset + 1, record)
    }

    @Test
    fun `a good version goes through its steps and finishes`() {
        record("old-1", 100)
        record("new-1", 100)
        val seen = mutableListOf<Any?>()
        repeat(8) {
            decide().forEach { record ->
                seen += (record as? MoveAdvance)?.step ?: (record as Verdict).kind
                log(record)
            }
            clock.now += 1.seconds
        }
        seen shouldBe listOf(1, VerdictKind.FINISHED)
        share() shouldBe 1.0
    }

    @Test
    fun `a step is held from its start, not from when there is evidence enough`() {
        decide() shouldBe emptyList()
        clock.now = 1.seconds
        record("new-1", 100)
        decide() shouldBe listOf(MoveAdvance("desk-to-2", 1, 1))
    }

    @Test
    fun `only the lease holder advances`() {
        record("new-1", 100)
        decide(Duration.ZERO)
        clock.now = 5.seconds
        decide(Duration.ZERO) shouldBe emptyList()
    }

    @Test
    fun `faults stop the version here before the log has the verdict`() {
        record("new-1", 10, failures = 10)
        val verdict = decide(Duration.ZERO).single() as Verdict
        verdict.kind shouldBe VerdictKind.TAKEN_BACK
        share() shouldBe 0.0
        controller.stops().single().reason shouldBe "10 of 10 calls failed"
    }

    @Test
    fun `faults seen by others only in sum stop it too`() {
        evidence.merge(
            "y",
            List(2) { EvidenceRow(EvidenceKey("desk-to-2", 1, "new-${it + 1}", 0), EvidenceCount(100, 6, 1000.0, 20_000.0)) },
        )
        decide()
        share() shouldBe 0.0
    }

    @Test
    fun `a peer's stop holds here`() {
        controller.merge(listOf(MoveStop("desk-to-2", 1, "seen elsewhere")))
        share() shouldBe 0.0
        (decide(Duration.ZERO).single() as Verdict).reason shouldBe "seen elsewhere"
    }

    @Test
    fun `a move that is late is taken back before its deadline`() {
        wall = Instant.parse("2029-12-31T23:59:58Z").toEpochMilli()
        (decide(Duration.ZERO).single() as Verdict).kind shouldBe VerdictKind.TAKEN_BACK
    }

    @Test
    fun `the first verdict on the log counts, whatever was stopped here`() {
        controller.merge(listOf(MoveStop("desk-to-2", 1, "seen elsewhere")))
        log(Verdict("desk-to-2", 1, VerdictKind.FINISHED, "held", "paused controller"))
        log(Verdict("desk-to-2", 1, VerdictKind.TAKEN_BACK, "seen elsewhere", "x"))
        decide() shouldBe emptyList()
        share() shouldBe 1.0
    }
}
