package dev.goldcrestquay.machine

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import dev.goldcrestquay.ENVIRONMENT_WITH_MOVE
import dev.goldcrestquay.contract.EnvironmentChange
import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.contract.LogRecord
import dev.goldcrestquay.contract.LogRecords
import dev.goldcrestquay.contract.Restart
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.SnapshotNote
import dev.goldcrestquay.contract.changeBetween
import dev.goldcrestquay.link.LinkFailure
import dev.goldcrestquay.link.LogBatch
import dev.goldcrestquay.link.LogEntry
import dev.goldcrestquay.link.LogLink
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test

class EnvironmentTableTest {
    private val first = changeBetween("first", 0, null, ENVIRONMENT_WITH_MOVE)
    private val second = EnvironmentChange("second", 1, dataCentresOut = setOf("a"))
    private val third = EnvironmentChange("third", 2, dataCentresOut = setOf("b"))

    private fun batch(
        oldest: Long,
        vararg records: LogRecord,
    ) = LogBatch(oldest, oldest + records.size, records.mapIndexed { index, record -> LogEntry(oldest + index, LogRecords.write(record)) })

    private fun stateAfter(vararg records: LogRecord) =
        records.foldIndexed(EnvironmentState()) { index, state, record -> state.after(index + 1L, record) }

    @Test
    fun `reading the whole log gives a complete state`() {
        val table = EnvironmentTable().apply { applyBatch(batch(1, first, second)) }
        table.complete shouldBe true
        table.state.generation shouldBe 2
    }

    @Test
    fun `a new entry VM starts from a snapshot that leaves no gap to the log`() {
        val table = EnvironmentTable().apply { applyBatch(batch(2, second, SnapshotNote(7, 1, 1), third)) }
        table.snapshots shouldBe SnapshotView(newestCoveredOffset = 1, newestOffset = 7)
        table.adopt(stateAfter(first)) shouldBe true
        table.complete shouldBe true
        table.state.environment?.dataCentresOut shouldBe setOf("b")
    }

    @Test
    fun `a stale snapshot leaves the state incomplete until a peer's state completes it`() {
        val table = EnvironmentTable().apply { applyBatch(batch(4, SnapshotNote(7, 1, 1))) }
        table.adopt(stateAfter(first)) shouldBe true
        table.complete shouldBe false
        table.adopt(stateAfter(first, second, third)) shouldBe true
        table.complete shouldBe true
        table.state.generation shouldBe 3
    }

    @Test
    fun `a note of a snapshot older than the state is marked as stale`() {
        val table = EnvironmentTable().apply { applyBatch(batch(1, first, second, SnapshotNote(7, 1, 1))) }
        table.snapshots.isLastNoteStale shouldBe true
    }

    @Test
    fun `an operator's restart completes a state whose earlier records are lost`() {
        val table =
            EnvironmentTable().apply {
                applyBatch(
                    batch(4, third, Restart("again", ENVIRONMENT_WITH_MOVE), EnvironmentChange("next", 5, dataCentresOut = setOf("b"))),
                )
            }
        table.complete shouldBe true
        table.state.generation shouldBe 6
    }

    @Test
    fun `a complete table refuses an older state of a peer`() {
        val table = EnvironmentTable().apply { applyBatch(batch(1, first, second)) }
        table.adopt(stateAfter(first)) shouldBe false
        table.state.generation shouldBe 2
    }

    @Test
    fun `an incomplete table refuses an older state of a peer`() {
        val table = EnvironmentTable().apply { applyBatch(batch(5, SnapshotNote(7, 1, 1))) }
        listOf(stateAfter(first, second), stateAfter(first)).map { table.adopt(it) } shouldBe listOf(true, false)
        table.complete shouldBe false
        table.state.generation shouldBe 2
    }

    @Test
    fun `a peer relays the records that another one lacks`() {
        val ahead = EnvironmentTable().apply { applyBatch(batch(1, first, second)) }
        val behind = EnvironmentTable().apply { applyBatch(batch(1, first)) }
        behind.applyBatch(ahead.recordsAfter(behind.state.offset)!!)
        behind.state shouldBe ahead.state
    }

    @Test
    fun `after a lost reply, publishing finds the outcome on the log and does not append again`() =
        runTest {
            val log = mutableListOf<LogEntry>()
            val link =
                LogLink(
                    append = { text ->
                        log += LogEntry(log.size + 1L, text)
                        Err(LinkFailure.REPLY_LOST)
                    },
                    read = { from -> Ok(LogBatch(1, maxOf(from, log.size + 1L), log.drop(from.toInt() - 1))) },
                )
            Publisher(link, link).publish(first).get()?.accepted shouldBe true
            log.size shouldBe 1
        }

    @Test
    fun `an unreachable log and an open outcome give different results`() =
        runTest {
            val unreachable = LogLink(append = { Err(LinkFailure.UNREACHABLE) }, read = { Err(LinkFailure.UNREACHABLE) })
            val replyLost = LogLink(append = { Err(LinkFailure.REPLY_LOST) }, read = { Ok(LogBatch(1, it, emptyList())) })
            listOf(unreachable, replyLost).map { Publisher(it, it).publish(first).getError() } shouldBe
                listOf(ResultCode.LOG_UNREACHABLE, ResultCode.OUTCOME_OPEN)
        }
}
