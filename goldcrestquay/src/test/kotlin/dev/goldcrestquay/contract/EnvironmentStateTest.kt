package dev.goldcrestquay.contract

import dev.goldcrestquay.ENVIRONMENT_WITH_MOVE
import io.kotest.matchers.maps.shouldContain
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

class EnvironmentStateTest {
    private val firstChange = changeBetween("first", 0, null, ENVIRONMENT_WITH_MOVE)
    private val started = EnvironmentState().after(1, firstChange)

    private fun EnvironmentState.afterAll(vararg records: LogRecord): EnvironmentState =
        records.fold(this) { state, record ->
            state.after(
                state.offset + 1,
                record,
            )
        }

    private fun changeTakingOut(
        id: String,
        base: Long,
        vararg names: String,
    ) = EnvironmentChange(id, base, dataCentresOut = names.toSet())

    @Test
    fun `of two changes based on one generation the first on the log wins`() {
        val state = started.afterAll(changeTakingOut("one", 1, "a"), changeTakingOut("two", 1, "b"))
        state.generation shouldBe 2
        state.environment?.dataCentresOut shouldBe setOf("a")
        state.changes shouldContain ("two" to ChangeOutcome(false, 2, ResultCode.BASE_SUPERSEDED.number))
    }

    @Test
    fun `a record read twice or appended twice is applied once`() {
        val once = started.afterAll(changeTakingOut("one", 1, "a"))
        once.after(2, changeTakingOut("other", 2, "b")) shouldBe once
        once.afterAll(changeTakingOut("one", 1, "a")) shouldBe once.copy(offset = 3)
    }

    @Test
    fun `an invalid change is refused`() {
        val state = started.afterAll(changeTakingOut("bad", 1, "nowhere"))
        state.environment shouldBe ENVIRONMENT_WITH_MOVE
        state.changes shouldContain ("bad" to ChangeOutcome(false, 1, ResultCode.DANGLING_REFERENCE.number))
    }

    @Test
    fun `the first verdict counts and later advances are ignored`() {
        val rolledBack = Verdict("desk-to-2", 1, VerdictKind.TAKEN_BACK, "faults", "x")
        val finished = Verdict("desk-to-2", 1, VerdictKind.FINISHED, "held", "y")
        val state = started.afterAll(MoveAdvance("desk-to-2", 1, 1), rolledBack, finished, MoveAdvance("desk-to-2", 1, 1))
        state.moves shouldBe mapOf("desk-to-2" to MoveState(1, 1, rolledBack))
    }

    @Test
    fun `an advance of another generation or to a step that is not the next is ignored`() {
        val state = started.afterAll(MoveAdvance("desk-to-2", 9, 1), MoveAdvance("desk-to-2", 1, 2), MoveAdvance("desk-to-2", 1, 0))
        state.moves shouldBe mapOf("desk-to-2" to MoveState(1))
    }

    @Test
    fun `a lease goes to the claim that names the lease in force`() {
        val claims =
            listOf("x" to 0L, "y" to 0L, "y" to 2L, "x" to 2L).map { (holder, replaces) ->
                LeaseClaim(
                    holder,
                    mapOf(
                        "desk" to replaces,
                    ),
                )
            }
        started.afterAll(*claims.toTypedArray()).leases shouldBe mapOf("desk" to Lease("y", 4))
    }

    @Test
    fun `a change between two documents carries only what differs`() {
        val changed =
            ENVIRONMENT_WITH_MOVE.copy(
                dataCentresOut = setOf("b"),
                services = ENVIRONMENT_WITH_MOVE.services.map { it.copy(callsPerSecond = 9) },
            )
        val change = changeBetween("id", 1, ENVIRONMENT_WITH_MOVE, changed)
        change shouldBe EnvironmentChange("id", 1, services = mapOf("desk" to changed.services[0]), dataCentresOut = setOf("b"))
        ENVIRONMENT_WITH_MOVE.with(change) shouldBe changed
    }

    @Test
    fun `records survive encoding and decoding and unknown text is not a record`() {
        listOf(firstChange, Snapshot(started, "x"), MoveAdvance("m", 1, 1)).map { LogRecords.read(LogRecords.write(it)) } shouldBe
            listOf(firstChange, Snapshot(started, "x"), MoveAdvance("m", 1, 1))
        listOf("", "{}", "[1]", """{"type":"later"}""").map { LogRecords.read(it) } shouldBe listOf(null, null, null, null)
    }

    @Test
    fun `a lease stays in force after its service is removed and after an operator's restart`() {
        val leased = started.afterAll(LeaseClaim("x", mapOf("desk" to 0L)))
        val removed = leased.afterAll(EnvironmentChange("gone", 1, services = mapOf("desk" to null), moves = mapOf("desk-to-2" to null)))
        removed.generation shouldBe 3
        removed.leases shouldBe mapOf("desk" to Lease("x", 2))
        leased.afterAll(Restart("again", ENVIRONMENT_WITH_MOVE)).leases shouldBe mapOf("desk" to Lease("unknown", 3))
    }
}
