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
    ) = VersionCount("shop", version, route, answered, failed, (answered - failed) * mean, mapOf(latencyBucket(mean) to answered))

    private fun view(
        vararg counts: VersionCount,
        phase: RolloutPhase = RolloutPhase.TRIAL,
        timeSinceOrder: Duration = 3.seconds,
        timeInPhase: Duration = 1.seconds,
        share: Double = phase.share,
    ) = RolloutView(order, phase, timeSinceOrder, timeInPhase, true, counts.toList(), 13, share)

    /** The [view] of a version that has more than its trial's share. */
    private fun ramping(
        vararg counts: VersionCount,
        timeInPhase: Duration,
    ) = view(*counts, timeSinceOrder = 8.seconds, timeInPhase = timeInPhase, share = RAMP_SHARE)

    @Test
    fun `the evidence decides each step`() {
        val old = count("v1", 400, 4)
        listOf(
            view(old, count("v2", 20)) to null,
            view(old, count("v2", 40)) to null,
            view(old, count("v2", 20), timeSinceOrder = 8.seconds) to null,
            view(old, count("v2", 40), timeSinceOrder = 8.seconds) to RolloutPhase.TRIAL,
            ramping(old, count("v2", 60), timeInPhase = 1.seconds) to null,
            ramping(old, count("v2", 60), timeInPhase = 2.seconds) to RolloutPhase.SHIFTED,
            ramping(old, count("v2", 60, 9), timeInPhase = 2.seconds) to RolloutPhase.ROLLED_BACK,
            view(old, count("v2", 20), timeSinceOrder = 11.seconds) to RolloutPhase.ROLLED_BACK,
            view(old, count("v2", 20, 8)) to RolloutPhase.ROLLED_BACK,
            view(count("v1", 400, 200), count("v2", 20, 8)) to null,
            view(old, count("v2", 10, mean = 1300.0)) to RolloutPhase.ROLLED_BACK,
            view(old, count("v2", 20), count("v2", 10, mean = 1300.0, route = "other"), count("v1", 50, route = "other")) to
                RolloutPhase.ROLLED_BACK,
            view(old, count("v2", 60), phase = RolloutPhase.SHIFTED, timeSinceOrder = 9.seconds) to null,
            view(old, count("v2", 60), phase = RolloutPhase.SHIFTED, timeSinceOrder = 10.seconds, timeInPhase = 2500.milliseconds) to
                RolloutPhase.COMPLETED,
            view(old, count("v2", 60, 9), phase = RolloutPhase.SHIFTED, timeSinceOrder = 9.seconds) to RolloutPhase.ROLLED_BACK,
        ).forEach { (view, phase) -> withClue(view) { judgeRollout(view)?.phase shouldBe phase } }
    }

    @Test
    fun `a version gets more requests by steps`() {
        val old = count("v1", 400, 4)
        judgeRollout(view(old, count("v2", 40), timeSinceOrder = 8.seconds))?.share shouldBe RAMP_SHARE
        judgeRollout(ramping(old, count("v2", 60), timeInPhase = 2.seconds))?.share shouldBe 1.0
        listOf(10.0 to 0.11, 80.0 to 0.0625, 600.0 to 0.02).forEach { (perSecond, share) ->
            trialShare(perSecond) shouldBe share
        }
    }

    /** The load pattern of a version that fails only since it gets more requests, after a long and good trial. */
    @Test
    fun `failures since the last step count by themselves`() {
        val old = count("v1", 400, 40)
        val trial = count("v2", 200, 4)
        val view = view(old, trial + count("v2", 20, 12), phase = RolloutPhase.SHIFTED)
        judgeRollout(view) shouldBe null
        judgeRollout(view.copy(countsSinceStep = listOf(count("v2", 20, 12))))?.phase shouldBe RolloutPhase.ROLLED_BACK
    }

    /**
     * The load pattern of entry VMs that end, or are cut off from the leader, while a good version gets all traffic: their counts are gone
     * from the sum, and what the others count since the last step must not look slow for it.
     */
    @Test
    fun `counts of entry VMs that are gone do not make a version look slow`() {
        val old = count("v1", 400)
        val gone = count("v2", 37, mean = 100.0)
        val staying = count("v2", 23)
        val since = count("v2", 45)
        val before = mapOf("vm-1/1" to listOf(old, staying), "vm-2/1" to listOf(gone))
        val view = view(old, staying + since, phase = RolloutPhase.SHIFTED, timeSinceOrder = 8.seconds)
        listOf(
            "gone" to mapOf("vm-1/1" to listOf(old, staying + since)),
            "back unchanged" to mapOf("vm-1/1" to listOf(old, staying + since), "vm-2/1" to listOf(gone)),
        ).forEach { (state, now) ->
            withClue(state) {
                val gained = gained(now, before).filter { it.version == "v2" && it.answered > 0 }
                gained.map { it.answered to it.milliseconds } shouldBe listOf(since.answered to since.milliseconds)
                judgeRollout(view.copy(countsSinceStep = gained)) shouldBe null
            }
        }
    }

    /** The load pattern of a version that turns slow some time after it got all traffic; what it answered before hides the first of them. */
    @Test
    fun `slow answers of the last moment count by themselves`() {
        val old = count("v1", 400)
        val shifted = count("v2", 300)
        listOf(
            Triple(300L, 0L, null),
            Triple(100L, 4L, null),
            Triple(100L, 12L, null),
            Triple(100L, 40L, RolloutPhase.ROLLED_BACK),
        ).forEach { (fast, slow, phase) ->
            val recent = count("v2", fast).copy(latencies = mapOf(latencyBucket(160.0) to fast, latencyBucket(1280.0) to slow))
            val view = view(old, shifted + recent, phase = RolloutPhase.SHIFTED)
            withClue("$fast fast and $slow slow ones since then") {
                judgeRollout(view) shouldBe null
                judgeRollout(view.copy(countsRecently = listOf(recent)))?.phase shouldBe phase
            }
        }
    }

    /**
     * The load pattern of a bad version that slows one route eightfold, only under load: its trial looks well, and after the shift its
     * slow answers arrive later than the version must have been rolled back.
     */
    @Test
    fun `a version that turns slow when it gets all traffic is rolled back before its first slow answer`() {
        var now = Duration.ZERO
        val evidence = VersionEvidence { now }

        fun answered(
            version: String,
            count: Int,
        ) = repeat(count) {
            val ticket = evidence.recordSend(registeredTarget("t-$version", version = version), "lookup")
            now += 270.milliseconds
            evidence.recordAnswer(ticket, failed = false)
        }
        answered("v1", 100)
        answered("v2", 20)
        val shiftedAt = now

        fun verdict() =
            judgeRollout(view(*evidence.countsOf(setOf("shop")).toTypedArray(), phase = RolloutPhase.SHIFTED, timeSinceOrder = 8.seconds))
        verdict() shouldBe null
        while (verdict()?.phase != RolloutPhase.ROLLED_BACK) {
            evidence.recordSend(registeredTarget("t-v2", version = "v2"), "lookup")
            now += 20.milliseconds
        }
        (now - shiftedAt < 1.seconds) shouldBe true
    }

    /** The latencies of lookups in a trial that replay `mix --seed 479389804463` of the deployment `qtc-gateway` showed. */
    @Test
    fun `a version that slows every other answer or lets it time out is rolled back in its trial`() {
        var now = Duration.ZERO
        val evidence = VersionEvidence { now }

        fun record(
            version: String,
            milliseconds: Int,
        ) {
            val ticket = evidence.recordSend(registeredTarget("t-$version", version = version), "lookup")
            now += milliseconds.milliseconds
            evidence.recordAnswer(ticket, failed = milliseconds > 1480)
        }
        repeat(300) { record("v1", if (it % 25 == 0) 900 else 140 + it % 100) }
        val trial =
            listOf(221, 941, 142, 216, 186, 1096, 916, 1452, 298, 1010, 111, 153, 122, 141, 916, 204, 1220, 1171, 779, 137, 133, 1496)
        var answers = 0
        while (answers < trial.size && judgeRollout(view(*evidence.countsOf(setOf("shop")).toTypedArray())) == null) {
            record("v2", trial[answers++])
        }
        judgeRollout(view(*evidence.countsOf(setOf("shop")).toTypedArray()))?.phase shouldBe RolloutPhase.ROLLED_BACK
        (answers < trial.size) shouldBe true
    }

    @Test
    fun `a version that answers as fast as the old one is not rolled back when it gets all traffic`() {
        var now = Duration.ZERO
        val evidence = VersionEvidence { now }
        val pending = ArrayDeque<Pair<Duration, Long>>()
        repeat(300) { request ->
            val version =
                if (request < 180) {
                    if (request % 9 == 0) {
                        "v2"
                    } else {
                        "v1"
                    }
                } else {
                    "v2"
                }
            pending += now to evidence.recordSend(registeredTarget("t-$version", version = version), "lookup")
            now += 20.milliseconds
            while (pending.isNotEmpty() && now - pending.first().first >= 270.milliseconds) {
                evidence.recordAnswer(pending.removeFirst().second, failed = false)
            }
            val counts = evidence.countsOf(setOf("shop")).toTypedArray()
            judgeRollout(view(*counts, phase = RolloutPhase.SHIFTED, timeSinceOrder = 8.seconds)) shouldBe null
        }
    }

    /** An in-memory store of verdicts that can lose its replies. */
    private class InMemoryVerdicts {
        val written = mutableListOf<RolloutVerdict>()
        var loseReplies = false
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
            return if (loseReplies) StoreResult.Unavailable("lost") else StoreResult.Done(end)
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
    fun `a failing version is stopped at once and its verdict is written once, even when the store's reply is lost`() =
        runTest {
            var now = Duration.ZERO
            val clock = { now }
            val verdicts = InMemoryVerdicts()
            val state = state(clock)
            val controller = verdicts.controller(state, clock)
            val failing = listOf(count("v1", 400), count("v2", 30, 20))
            verdicts.loseReplies = true
            controller.step(mapOf("vm-1/1" to failing), 13)
            state.rollouts().getValue("shop").phase shouldBe RolloutPhase.ROLLED_BACK
            repeat(3) {
                now += 1.seconds
                controller.step(mapOf("vm-1/1" to failing), 13)
            }
            verdicts.written.map { it.outcome } shouldContainExactly listOf(RolloutOutcome.RUNNING, RolloutOutcome.ROLLED_BACK)
        }

    /** The load pattern of a rolling restart: the counts of the processes that end are no longer included. */
    @Test
    fun `the trial's share is kept while the counts fall and fits the rate afterwards`() =
        runTest {
            var now = Duration.ZERO
            val clock = { now }
            val state = state(clock)
            val controller = InMemoryVerdicts().controller(state, clock)
            val both = mapOf("vm-1/1" to listOf(count("v1", 900)), "vm-2/1" to listOf(count("v1", 100)))
            val one = listOf(900L, 900L, 1100L, 1300L).map { mapOf("vm-1/1" to listOf(count("v1", it))) }
            val shares =
                (listOf(both, both) + one).map { counts ->
                    controller.step(counts, 13)
                    now += 900.milliseconds
                    state.rollouts().getValue("shop").share
                }
            shares.take(4) shouldBe List(4) { RolloutPhase.TRIAL.share }
            (shares.last() in 0.02..0.03) shouldBe true
        }

    @Test
    fun `when two leaders decide, the first verdict holds for both`() =
        runTest {
            var now = Duration.ZERO
            val clock = { now }
            val verdicts = InMemoryVerdicts()
            val states = List(2) { state(clock) }
            val controllers = states.map { verdicts.controller(it, clock) }
            controllers[0].step(mapOf("vm-1/1" to listOf(count("v1", 400), count("v2", 30, 20))), 13)
            controllers[1].step(mapOf("vm-1/1" to listOf(count("v1", 400), count("v2", 40))), 13)
            now = 8.seconds
            controllers[1].step(mapOf("vm-1/1" to listOf(count("v1", 400), count("v2", 40))), 13)
            now = 11.seconds
            controllers[1].step(mapOf("vm-1/1" to listOf(count("v1", 400), count("v2", 40))), 13)
            verdicts.written.count { it.isFinal } shouldBe 1
            states.forEach { it.rollouts().getValue("shop").phase shouldBe RolloutPhase.ROLLED_BACK }
        }
}
