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

/** Reads the log and publishes changes on it, for the operators' commands. */
public class Publisher(
    private val log: LogLink,
    private val snapshots: LogLink,
) {
    private val table = EnvironmentTable()

    /**
     * Reads all records that the log holds, and the newest snapshot if records are missing; returns the resulting state.
     *
     * Fails with [ResultCode.LOG_UNREACHABLE], or with [ResultCode.LOG_BEHIND] when the state stays incomplete.
     */
    public suspend fun state(): Result<EnvironmentState, ResultCode> {
        while (true) {
            val before = table.nextOffset
            val batch = log.read(before).getOrElse { return Err(ResultCode.LOG_UNREACHABLE) }
            table.applyBatch(batch)
            if (table.nextOffset == before) break
        }
        if (!table.complete) snapshots.read(table.snapshots.newestOffset).get()?.let { table.adoptSnapshot(it) }
        return if (table.complete) Ok(table.state) else Err(ResultCode.LOG_BEHIND)
    }

    /**
     * Publishes [change] and returns its outcome, which is the same for every reader of the log.
     *
     * After a lost reply, the log is searched for the change's identifier; the change is appended again only if it is absent.
     */
    public suspend fun publish(change: EnvironmentChange): Result<ChangeOutcome, ResultCode> {
        state().getOrElse { return Err(it) }.changes[change.id]?.let { return Ok(it) }
        return append(change) { outcomeOf(change) }
    }

    /** Publishes [environment] regardless of earlier records, for a log whose records expired before any entry VM read them. */
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

    /** Appends [record], up to [MAXIMUM_ATTEMPTS] times with a growing backoff, until [outcome] finds it on the log or fails. */
    public suspend fun <T> append(
        record: LogRecord,
        outcome: suspend () -> Result<T, ResultCode>?,
    ): Result<T, ResultCode> {
        var lastFailure: LinkFailure? = null
        repeat(MAXIMUM_ATTEMPTS) { attempt ->
            lastFailure = log.append(LogRecords.write(record)).getError()
            if (lastFailure != LinkFailure.UNREACHABLE) outcome()?.let { return it }
            delay(RETRY_BACKOFF * (attempt + 1))
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
        const val MAXIMUM_ATTEMPTS = 5

        /** The backoff after the first attempt; it grows by as much with each further one. */
        val RETRY_BACKOFF = 200.milliseconds
    }
}
