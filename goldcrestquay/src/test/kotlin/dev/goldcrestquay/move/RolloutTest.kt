package dev.goldcrestquay.move

import dev.goldcrestquay.link.StoreLink
import dev.goldcrestquay.link.StoreRecords
import dev.goldcrestquay.link.StoreResult
import dev.goldcrestquay.machine.RolloutRecord
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.machine.VerdictRecord
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.targetRecord
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RolloutTest {
    private val order = RolloutOrder("shop", "v2", 12.seconds)

    private fun count(
        version: String,
        answered: Long,
        failed: Long = 0,
        mean: Double = 160.0,
        route: String = "r",
    ) = VersionCount("shop", version, route, answered, failed, (answered - failed) * mean)

    private fun view(
        vararg counts: VersionCount,
        phase: RolloutPhase = RolloutPhase.TRIAL,
        sinceOrder: Duration = 3.seconds,
        sincePhase: Duration = 1.seconds,
    ) = RolloutView(order, phase, sinceOrder, sincePhase, true, counts.toList(), 13)

    @Test
    fun `evidence decides each step`() {
        val old = count("v1", 400, 4)
        listOf(
            view(old, count("v2", 20)) to null,
            view(old, count("v2", 20), sinceOrder = 8.seconds) to null,
            view(old, count("v2", 40), sinceOrder = 8.seconds) to RolloutPhase.SHIFTED,
            view(old, count("v2", 20), sinceOrder = 11.seconds) to RolloutPhase.ROLLED_BACK,
            view(old, count("v2", 20, 8)) to RolloutPhase.ROLLED_BACK,
            view(count("v1", 400, 200), count("v2", 20, 8)) to null,
            view(old, count("v2", 10, mean = 1300.0)) to RolloutPhase.ROLLED_BACK,
            view(old, count("v2", 20), count("v2", 10, mean = 1300.0, route = "other"), count("v1", 50, route = "other")) to
                RolloutPhase.ROLLED_BACK,
            view(old, count("v2", 60), phase = RolloutPhase.SHIFTED, sinceOrder = 9.seconds) to null,
            view(old, count("v2", 60), phase = RolloutPhase.SHIFTED, sinceOrder = 10.seconds, sincePhase = 2500.milliseconds) to
                RolloutPhase.COMPLETED,
            view(old, count("v2", 60, 9), phase = RolloutPhase.SHIFTED, sinceOrder = 9.seconds) to RolloutPhase.ROLLED_BACK,
        ).forEach { (view, phase) -> withClue(view) { judgeRollout(view)?.phase shouldBe phase } }
    }

    /** A store in memory for verdicts, with a switch for lost answers. */
    private class Verdicts {
        val written = mutableListOf<RolloutVerdict>()
        var loseAnswers = false
        val link =
            StoreLink(
                newest = { StoreResult.Done(StoreRecords(emptyList(), 0)) },
                read = { _, from, _ -> StoreResult.Done(StoreRecords(emptyList(), from)) },
                writeVerdict = { _, verdict, end -> write(verdict, end) },
            )

        private fun write(
            verdict: RolloutVerdict,
            end: Long,
        ): StoreResult<Long> {
            if (end != written.size.toLong()) return StoreResult.Conflict
            written += verdict
            return if (loseAnswers) StoreResult.Unavailable("lost") else StoreResult.Done(end)
        }

        fun controller(
            state: SharedState,
            clock: () -> Duration,
        ) = RolloutController(state, link, { written.size.toLong() }, { refresh(state) }, clock) { }

        private fun refresh(state: SharedState): Boolean {
            written.forEachIndexed { offset, verdict -> state.apply(VerdictRecord("rollout/shop", offset.toLong(), "shop", verdict)) }
            return true
        }
    }

    private fun state(clock: () -> Duration) =
        SharedState(clock).also {
            it.apply(targetRecord(registeredTarget("new", version = "v2"), 1))
            it.apply(RolloutRecord("rollout/shop", 1, "shop", order))
        }

    @Test
    fun `a bad version stops at once and the verdict is written once, even when its answer is lost`() =
        runTest {
            var now = Duration.ZERO
            val clock = { now }
            val verdicts = Verdicts()
            val state = state(clock)
            val controller = verdicts.controller(state, clock)
            val bad = listOf(count("v1", 400), count("v2", 30, 20))
            verdicts.loseAnswers = true
            controller.step(bad, 13)
            state.rollouts().getValue("shop").phase shouldBe RolloutPhase.ROLLED_BACK
            repeat(3) {
                now += 1.seconds
                controller.step(bad, 13)
            }
            verdicts.written.map { it.outcome } shouldContainExactly listOf(RolloutOutcome.RUNNING, RolloutOutcome.ROLLED_BACK)
        }

    @Test
    fun `of two deciders the first verdict holds for both`() =
        runTest {
            var now = Duration.ZERO
            val clock = { now }
            val verdicts = Verdicts()
            val states = List(2) { state(clock) }
            val controllers = states.map { verdicts.controller(it, clock) }
            controllers[0].step(listOf(count("v1", 400), count("v2", 30, 20)), 13)
            controllers[1].step(listOf(count("v1", 400), count("v2", 40)), 13)
            now = 8.seconds
            controllers[1].step(listOf(count("v1", 400), count("v2", 40)), 13)
            now = 11.seconds
            controllers[1].step(listOf(count("v1", 400), count("v2", 40)), 13)
            verdicts.written.count { it.isFinal } shouldBe 1
            states.forEach { it.rollouts().getValue("shop").phase shouldBe RolloutPhase.ROLLED_BACK }
        }
}
