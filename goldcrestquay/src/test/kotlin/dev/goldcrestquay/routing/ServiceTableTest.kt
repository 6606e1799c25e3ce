package dev.goldcrestquay.routing

import dev.goldcrestquay.DESK_SERVICE
import dev.goldcrestquay.ManualClock
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.LoadReport
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.machine.Warmth
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ServiceTableTest {
    private val clock = ManualClock()
    private val table = ServiceTable(DESK_SERVICE, RoutingSettings(), clock, Random(1))

    private fun reserve(
        tried: Set<String> = emptySet(),
        remaining: Duration = 1.seconds,
    ) = table.reserve(remaining, tried)

    private fun chosen(count: Int) = List(count) { (reserve() as? Choice.Reserved)?.target?.name }

    private fun answer(
        ticket: Choice.Reserved,
        epoch: Long? = null,
        failed: Boolean = false,
    ) = table.complete(ticket, AttemptEnd.Answered(failed, epoch?.let { LoadReport(0, it, 0) }))

    @Test
    fun `concurrent calls are spread over the idle targets`() {
        chosen(4).toSet() shouldBe setOf("old-1", "old-2", "new-1", "new-2")
    }

    @Test
    fun `an evacuated data centre and a draining target get no calls`() {
        table.applyConstraints(ServiceConstraints(dataCentresOut = setOf("b")))
        val ticket = reserve() as Choice.Reserved
        table.complete(ticket, AttemptEnd.Refused(Refusal.DRAINING))
        chosen(6).toSet() shouldBe setOf("old-1", "new-1") - ticket.target.name
    }

    @Test
    fun `a call that cannot be answered in time is refused at once`() {
        table.applyConstraints(ServiceConstraints(dataCentresOut = setOf("b")))
        chosen(8 + 40)
        table.reserve(30.milliseconds) shouldBe Choice.Refused(ResultCode.OVERLOADED)
        table.reserve(Duration.ZERO) shouldBe Choice.Refused(ResultCode.DEADLINE_PASSED)
        reserve(tried = DESK_SERVICE.targets.map { it.name }.toSet()) shouldBe Choice.Refused(ResultCode.NO_TARGET)
    }

    @Test
    fun `the new version never exceeds its share on any draw`() {
        val share = 0.1
        table.applyConstraints(ServiceConstraints(share = VersionShare("1", "2", share)))
        var moved = 0
        for (total in 1..200) {
            val ticket = reserve() as Choice.Reserved
            if (ticket.target.version == "2") moved++
            (moved <= share * total) shouldBe true
            answer(ticket)
        }
        moved shouldBe 20
    }

    @Test
    fun `a version that was rolled back gets no calls, even when no other target is left`() {
        table.applyConstraints(ServiceConstraints(share = VersionShare("1", "2", 0.0)))
        reserve(tried = setOf("old-1", "old-2")) shouldBe Choice.Refused(ResultCode.NO_TARGET)
    }

    @Test
    fun `a target whose calls fail immediately is ejected after three failures`() {
        repeat(40) {
            val ticket = reserve() as Choice.Reserved
            answer(ticket, failed = ticket.target.name == "old-1")
        }
        chosen(30).count { it == "old-1" } shouldBe 0
        clock.now = 2.seconds
        table.view().first { it.target.name == "old-1" }.ejected shouldBe false
    }

    @Test
    fun `a cold target gets calls only within its allowance and only from the lease holder`() {
        val cold = reserve(tried = setOf("old-2", "new-1", "new-2")) as Choice.Reserved
        answer(cold, epoch = 7)
        table.view().first { it.target.name == "old-1" }.warmth shouldBe Warmth.Cold(7, 1, goodAnswers = 1)
        chosen(20).count { it == "old-1" } shouldBe 1
        table.applyConstraints(ServiceConstraints(leaseUntil = clock.now + 500.milliseconds))
        chosen(20).count { it == "old-1" } shouldBe 0
    }

    @Test
    fun `good answers warm up a cold target and a failure restarts the warm-up`() {
        val others = setOf("old-2", "new-1", "new-2")
        val states =
            List(62) { step ->
                answer(reserve(others) as Choice.Reserved, epoch = 7, failed = step == 5)
                (table.view().first { it.target.name == "old-1" }.warmth as? Warmth.Cold)?.allowance
            }
        listOf(0, 3, 4, 5, 9, 17, 33).map { states[it] } shouldBe listOf(1, 2, 2, 1, 2, 4, 8)
        states.count { it == null } shouldBe 0
    }

    @Test
    fun `targets of a returning data centre start cold`() {
        table.applyConstraints(ServiceConstraints(dataCentresOut = setOf("a")))
        table.applyConstraints(ServiceConstraints())
        table.view().map { it.warmth is Warmth.Cold } shouldBe DESK_SERVICE.targets.map { it.dataCentre == "a" }
    }

    @Test
    fun `a peer's update about an older start is ignored`() {
        table.updateWarmth("old-1", Warmth.Cold(9, 1))
        table.updateWarmth("old-1", Warmth.Warm(8))
        table.view().first { it.target.name == "old-1" }.warmth shouldBe Warmth.Cold(9, 1)
        table.updateWarmth("old-1", Warmth.Warm(9))
        table.view().first { it.target.name == "old-1" }.warmth shouldBe Warmth.Warm(9)
    }

    @Test
    fun `load reports that do not follow own calls are not trusted`() {
        val cases = listOf<(Int) -> Int>({ own -> own + 2 }, { 0 })
        val trusts =
            cases.map { report ->
                val estimate = LoadEstimate(60.0)
                val random = Random(3)
                repeat(300) { own -> (random.nextInt(5)).let { estimate.recordReport(own.toDouble(), report(it), it) } }
                estimate.trust
            }
        trusts[0] shouldBe 1.0
        trusts[1] shouldBeLessThan 0.1
    }
}
