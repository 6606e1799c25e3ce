package dev.goldcrestquay.routing

import dev.goldcrestquay.machine.FleetEvent
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class TargetNoticesTest {
    private var now = 100.seconds
    private val events = mutableListOf<FleetEvent>()
    private val notices = TargetNotices({ now }, { events += it })

    private fun allowanceAfter(duration: Duration): TargetAllowance {
        now += duration
        return notices.allowance("t").also { now -= duration }
    }

    @Test
    fun `what a target says decides whether it gets requests`() {
        data class Case(
            val said: List<TargetNotice>,
            val expected: Map<Duration, TargetAllowance>,
        )
        val leaving = TargetNotice(isLeaving = true)
        val cases =
            listOf(
                Case(listOf(), mapOf(0.seconds to TargetAllowance.OPEN)),
                Case(listOf(TargetNotice(unreadable = "x")), mapOf(0.seconds to TargetAllowance.OPEN)),
                Case(listOf(leaving), mapOf(0.9.seconds to TargetAllowance.LAST_RESORT, 1.seconds to TargetAllowance.CLOSED)),
                Case(listOf(leaving, TargetNotice()), mapOf(1.days to TargetAllowance.CLOSED)),
                Case(listOf(silence(0.seconds)), mapOf(0.seconds to TargetAllowance.OPEN)),
                Case(listOf(silence(2.seconds)), mapOf(1.9.seconds to TargetAllowance.CLOSED, 2.seconds to TargetAllowance.OPEN)),
                Case(listOf(silence(2.seconds), silence(1.seconds)), mapOf(1.9.seconds to TargetAllowance.CLOSED)),
                Case(listOf(silence(2.seconds), silence(3.seconds)), mapOf(2.9.seconds to TargetAllowance.CLOSED)),
                Case(listOf(silence(Duration.INFINITE)), mapOf(1000.days to TargetAllowance.CLOSED)),
                Case(
                    listOf(leaving, silence(0.5.seconds)),
                    mapOf(0.4.seconds to TargetAllowance.CLOSED, 0.6.seconds to TargetAllowance.LAST_RESORT),
                ),
            )
        cases.forEach { case ->
            val fresh = TargetNotices({ now })
            case.said.forEach { fresh.record("t", it) }
            case.expected.forEach { (duration, expected) ->
                withClue("${case.said} after $duration") {
                    now += duration
                    fresh.allowance("t") shouldBe expected
                    fresh.allowance("other") shouldBe TargetAllowance.OPEN
                    now -= duration
                }
            }
        }
    }

    @Test
    fun `what is held outlives the record for some minutes and is forgotten then`() {
        notices.record("t", TargetNotice(isLeaving = true))
        notices.retain(setOf("t"))
        now += 4.minutes
        notices.retain(emptySet())
        allowanceAfter(Duration.ZERO) shouldBe TargetAllowance.CLOSED
        now += 1.1.minutes
        notices.retain(emptySet())
        notices.size shouldBe 0
    }

    @Test
    fun `what is held of a registered target stays`() {
        notices.record("t", TargetNotice(isLeaving = true))
        repeat(10) {
            now += 4.minutes
            notices.retain(setOf("t"))
        }
        allowanceAfter(Duration.ZERO) shouldBe TargetAllowance.CLOSED
    }

    @Test
    fun `each change is reported once`() {
        repeat(3) { notices.record("t", TargetNotice(isLeaving = true, silence = 2.seconds, unreadable = "x")) }
        events.shouldContainExactly(
            FleetEvent.TargetLeaving("t"),
            FleetEvent.TargetSilent("t", 2.seconds),
            FleetEvent.NoticeUnreadable("t", "x"),
        )
    }

    private fun silence(duration: Duration) = TargetNotice(silence = duration)
}
