package dev.goldcrestquay.machine

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import dev.goldcrestquay.contract.ChangeOutcome
import dev.goldcrestquay.contract.Environment
import dev.goldcrestquay.contract.EnvironmentChange
import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.contract.LogRecord
import dev.goldcrestquay.contract.LogRecords
import dev.goldcrestquay.contract.Restart
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.LinkFailure
import dev.goldcrestquay.link.LogLink
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Reads the log and publishes on it, as an operator does. */
public class Publisher(
    private val log: LogLink,
    private val snapshots: LogLink,
) {
    private val table = EnvironmentTable()

    /** Reads all records that the log holds and returns the state they give. */
    public suspend fun state(): Result<EnvironmentState, ResultCode> {
        while (true) {
            val before = table.nextOffset
            val batch = log.read(before).getOrElse { return Err(ResultCode.LOG_UNREACHABLE) }
            table.applyBatch(batch)
            if (table.nextOffset == before) break
        }
        if (!table.complete) snapshots.read(table.snapshots.newestAt).get()?.let { table.adoptSnapshot(it) }
        return if (table.complete) Ok(table.state) else Err(ResultCode.LOG_BEHIND)
    }

    /**
     * Publishes [change] and returns what every reader makes of it.
     *
     * After a lost reply the log is read for the change's identifier; the change is appended again only when it is absent.
     */
    public suspend fun publish(change: EnvironmentChange): Result<ChangeOutcome, ResultCode> {
        state().getOrElse { return Err(it) }.changes[change.id]?.let { return Ok(it) }
        return append(change) { outcomeOf(change) }
    }

    /** Publishes [environment] whatever the log held before, for a log whose needed records lapsed before anyone read them. */
    public suspend fun restart(
        id: String,
        environment: Environment,
    ): Result<ChangeOutcome, ResultCode> =
        append(Restart(id, environment)) {
            state()
                .get()
                ?.changes
                ?.get(id)
                ?.let { Ok(it) }
        }

    /** Appends [record] until [outcome] finds that the log holds it. */
    public suspend fun <T> append(
        record: LogRecord,
        outcome: suspend () -> Result<T, ResultCode>?,
    ): Result<T, ResultCode> {
        var lastFailure: LinkFailure? = null
        repeat(ATTEMPTS) { attempt ->
            lastFailure = log.append(LogRecords.write(record)).getError()
            if (lastFailure != LinkFailure.UNREACHABLE) outcome()?.let { return it }
            delay(PAUSE * (attempt + 1))
        }
        return Err(
            when (lastFailure) {
                LinkFailure.UNREACHABLE -> ResultCode.LOG_UNREACHABLE
                LinkFailure.THROTTLED -> ResultCode.LOG_THROTTLED
                LinkFailure.REPLY_LOST, null -> ResultCode.OUTCOME_OPEN
            },
        )
    }

    private suspend fun outcomeOf(change: EnvironmentChange): Result<ChangeOutcome, ResultCode>? {
        val state = state().getOrElse { code -> return if (code == ResultCode.LOG_BEHIND) Err(code) else Err(ResultCode.OUTCOME_OPEN) }
        return state.changes[change.id]?.let { Ok(it) }
    }

    private companion object {
        const val ATTEMPTS = 5
        val PAUSE = 200.milliseconds
    }
}
