package dev.goldcrestquay.overload

import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration

class AdmissionLevelTest {
    private var now = Duration.ZERO

    private fun kind(
        route: String,
        priority: Int,
        isSpill: Boolean = false,
        work: Double = 1000.0,
        refused: Double = 0.0,
        arrivals: Double = 10.0,
    ) = KindLoad(route, priority, isSpill, arrivals, work, 0.0, refused, 0.0, 0.0)

    @Test
    fun `room goes to urgent kinds first, then to a service's own, and every kind keeps a part`() {
        val kinds = listOf(kind("late", 2), kind("spill", 1, isSpill = true), kind("own", 1), kind("first", 0))
        val floor = 0.5 * FLOOR
        val shares = sharesByRank(kinds, 0.5)
        shares.getValue("first") shouldBe (1.0 plusOrMinus 0.001)
        shares.getValue("own") shouldBe (floor + 1.3 - (1.0 - floor) plusOrMinus 0.001)
        shares.getValue("spill") shouldBe (floor plusOrMinus 0.001)
        shares.getValue("late") shouldBe (floor plusOrMinus 0.001)
        FLOOR shouldBeGreaterThan 0.25
    }

    @Test
    fun `kinds of one rank share alike and a kind is not taken more often than a more urgent one is served`() {
        sharesByRank(listOf(kind("a", 1, work = 3000.0), kind("b", 1)), 0.6).values.toSet() shouldBe setOf(0.6)
        val shares = sharesByRank(listOf(kind("a", 1, work = 10.0, refused = 4.0), kind("b", 2)), 0.9)
        shares.getValue("b") shouldBe (0.6 + RANK_TOLERANCE plusOrMinus 0.001)
        val few = sharesByRank(listOf(kind("a", 1, work = 10.0, refused = 4.0, arrivals = 4.0), kind("b", 2)), 0.9)
        few.getValue("b") shouldBeGreaterThan 0.85
    }

    private fun AdmissionLevel.after(
        steps: Int,
        load: ServiceLoad,
    ): Double {
        repeat(steps) {
            now += AdmissionLevel.STEP_INTERVAL
            repeat(3) { update(load) }
        }
        return shares["a"] ?: 1.0
    }

    private fun load(
        refused: Double,
        arrivals: Double = 10.0,
    ) = ServiceLoad("shop", listOf(kind("a", 1, refused = refused, arrivals = arrivals)))

    @Test
    fun `the level moves by small steps, holds between its thresholds and opens again`() {
        val level = AdmissionLevel({ now })
        level.after(1, load(5.0)) shouldBe (0.85 plusOrMinus 0.001)
        level.after(1, load(5.0)) shouldBeLessThan 0.75
        val lowered = level.after(1, load(0.3))
        level.after(10, load(0.3)) shouldBe lowered
        level.after(1, load(0.0)) shouldBeGreaterThan lowered
        level.after(30, load(0.0)) shouldBe 1.0
        level.after(50, load(10.0)) shouldBeGreaterThan 0.0
    }

    @Test
    fun `a few requests do not move the level`() {
        AdmissionLevel({ now }).after(5, load(4.0, arrivals = 4.0)) shouldBe 1.0
    }
}
