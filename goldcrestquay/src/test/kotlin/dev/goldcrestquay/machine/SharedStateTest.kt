package dev.goldcrestquay.machine

import dev.goldcrestquay.move.RolloutOrder
import dev.goldcrestquay.move.RolloutOutcome
import dev.goldcrestquay.move.RolloutPhase
import dev.goldcrestquay.move.RolloutState
import dev.goldcrestquay.move.RolloutVerdict
import dev.goldcrestquay.planRecord
import dev.goldcrestquay.plannedOrganisation
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.routePlan
import dev.goldcrestquay.targetRecord
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class SharedStateTest {
    private val state = SharedState { 10.seconds }

    /** The load pattern of an upgrade: a leader of a release that knows no organisations reads the plan first. */
    @Test
    fun `a plan that was passed on without its organisations is replaced by the same one with them, and not the other way round`() {
        val whole = PlanRecord("config", 3, routePlan(7, organisations = listOf(plannedOrganisation("a", "key"))))
        state.apply(planRecord(version = 7, offset = 3)) shouldBe true
        state.apply(whole) shouldBe true
        state.apply(planRecord(version = 7, offset = 3)) shouldBe false
        state.routes?.plan?.organisations shouldBe whole.plan.organisations
        state.apply(planRecord(version = 8, offset = 4)) shouldBe true
        state.routes?.plan?.organisations shouldBe emptyList()
    }

    @Test
    fun `the plan's version never decreases, even at a higher offset`() {
        state.apply(planRecord(version = 7, offset = 3)) shouldBe true
        state.apply(planRecord(version = 5, offset = 9)) shouldBe false
        state.routes?.plan?.version shouldBe 7
    }

    @Test
    fun `of two records of a target the higher offset wins`() {
        state.apply(targetRecord(registeredTarget("a", TargetPhase.DRAINING, heartbeat = 2), offset = 5))
        state.apply(targetRecord(registeredTarget("a", heartbeat = 1), offset = 4)) shouldBe false
        state.isReady("a") shouldBe false
    }

    @Test
    fun `a heartbeat of an earlier start is ignored, even at a higher offset`() {
        state.apply(targetRecord(registeredTarget("a", startedAt = 200, heartbeat = 1), offset = 5))
        state.apply(targetRecord(registeredTarget("a", TargetPhase.DRAINING, startedAt = 100, heartbeat = 9), offset = 6)) shouldBe false
        state.isReady("a") shouldBe true
    }

    @Test
    fun `a delayed heartbeat does not bring back a target that was removed`() {
        state.apply(targetRecord(registeredTarget("a", startedAt = 100, heartbeat = 5), offset = 1))
        state.apply(TargetRecord("a", 2, null))
        state.apply(targetRecord(registeredTarget("a", startedAt = 100, heartbeat = 4), offset = 3)) shouldBe false
        state.apply(targetRecord(registeredTarget("a", startedAt = 100, heartbeat = 5), offset = 4)) shouldBe false
        state.isReady("a") shouldBe false
        state.apply(targetRecord(registeredTarget("a", startedAt = 100, heartbeat = 6), offset = 5)) shouldBe true
        state.isReady("a") shouldBe true
    }

    @Test
    fun `peers get the rest of a warm-up as of now, not as of the heartbeat`() {
        var now = 10.seconds
        val state = SharedState { now }
        state.apply(targetRecord(registeredTarget("a", warmUpLeft = 3.seconds), offset = 1))
        now = 12.seconds
        (state.changesAfter(0).single() as TargetRecord).target?.warmUpLeft shouldBe 1.seconds
        now = 20.seconds
        (state.changesAfter(0).single() as TargetRecord).target?.warmUpLeft shouldBe 0.seconds
    }

    @Test
    fun `a heartbeat that differs only in its number is not a change`() {
        state.apply(targetRecord(registeredTarget("a", heartbeat = 1), offset = 1))
        val before = state.sequence
        state.apply(targetRecord(registeredTarget("a", heartbeat = 2), offset = 2)) shouldBe false
        state.sequence shouldBe before
    }

    @Test
    fun `changes after a sequence number are returned once, oldest first`() {
        state.apply(targetRecord(registeredTarget("a"), offset = 1))
        val sequence = state.sequence
        state.apply(targetRecord(registeredTarget("b"), offset = 2))
        state.apply(TargetRecord("a", 3, null))
        state.changesAfter(sequence).map { it.key } shouldContainExactly listOf("b", "a")
        state.changesAfter(state.sequence).shouldBeEmpty()
    }

    @Test
    fun `keys missing from a fully read feed are removed, except those written later`() {
        state.apply(targetRecord(registeredTarget("a"), offset = 1))
        state.apply(targetRecord(registeredTarget("b"), offset = 9))
        state.removals(Feed.TARGETS, setOf("c"), end = 5).map { it.key } shouldContainExactly listOf("a")
    }

    @Test
    fun `a verdict in the store takes precedence over the phases that peers report`() {
        val order = RolloutOrder("shop", "v2", 12.seconds)
        state.apply(RolloutRecord("rollout/shop", 4, "shop", order))
        state.setRollouts(listOf(RolloutState(order, RolloutPhase.SHIFTED)))
        state.rollouts().getValue("shop").phase shouldBe RolloutPhase.SHIFTED
        state.apply(VerdictRecord("rollout/shop", 0, "shop", RolloutVerdict("v2", RolloutOutcome.ROLLED_BACK)))
        state.rollouts().getValue("shop").phase shouldBe RolloutPhase.ROLLED_BACK
    }

    /** The load pattern of a restart while a version was rolled back: it would be on trial again until its verdict is read. */
    @Test
    fun `records without the verdicts do not count as loaded`() {
        state.apply(planRecord(1))
        state.confirm(10.seconds)
        state.isLoaded shouldBe false
        state.markComplete(Feed.VERDICTS, 0)
        state.confirm(10.seconds)
        state.isLoaded shouldBe true
    }

    @Test
    fun `a verdict on an earlier order does not apply to the next`() {
        state.apply(VerdictRecord("rollout/shop", 0, "shop", RolloutVerdict("v2", RolloutOutcome.COMPLETED)))
        state.apply(RolloutRecord("rollout/shop", 5, "shop", RolloutOrder("shop", "v3", 12.seconds)))
        state.rollouts().getValue("shop").phase shouldBe RolloutPhase.TRIAL
    }

    @Test
    fun `a peer that has loaded the store past a gap does not vouch for the removals in it`() {
        val state = SharedState { Duration.ZERO }
        Feed.entries.forEach { state.markComplete(it, 3) }
        state.markLoaded(Feed.TARGETS, 10)
        val known = Feed.entries.associateWith { 6L }
        state.changesBeyond(0, known) shouldBe null
        state.changesBeyond(0, known + (Feed.TARGETS to 10L)) shouldBe emptyList()
        val follower = SharedState { Duration.ZERO }
        Feed.entries.forEach { follower.markComplete(it, 4) }
        follower.adoptGaps(state.completeFrom())
        follower.changesBeyond(0, known) shouldBe null
    }
}
