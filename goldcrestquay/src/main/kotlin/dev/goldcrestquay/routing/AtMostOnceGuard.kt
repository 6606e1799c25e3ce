package dev.goldcrestquay.routing

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import dev.goldcrestquay.contract.Outcome
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.ResultKind
import dev.goldcrestquay.link.KeyAnswer
import dev.goldcrestquay.link.KeyFate
import dev.goldcrestquay.link.KeyQuestion
import dev.goldcrestquay.link.LinkFailure

/**
 * The idempotency key of a call.
 *
 * @property fingerprint a hash of the call's content, to detect different calls that share a key by mistake.
 * @property earlierEntries the identities of all entry VMs that got an attempt before this one; empty for a first attempt.
 */
public data class CallKey(
    val key: String,
    val fingerprint: Int,
    val earlierEntries: List<String> = emptyList(),
)

/** Asks the entry VM with the given identity about an attempt; fails if that entry VM can't be reached. */
public typealias AskEntry = suspend (String, KeyQuestion) -> Result<KeyAnswer, LinkFailure>

/**
 * Runs a call with an idempotency key at most once over all entry VMs that its caller tries.
 *
 * The key is registered here before any other entry VM is asked, so that two concurrent retries find each other. A retry names
 * all entry VMs tried before it: the previous attempt may not have arrived, so its entry VM can't name the earlier ones.
 */
public class AtMostOnceGuard(
    private val identity: String,
    private val table: AttemptTable,
    private val ask: AskEntry,
) {
    /** Runs [run] unless an earlier attempt under the same key has run or may have run. */
    public suspend fun <Reply> guard(
        service: String,
        key: CallKey,
        run: suspend () -> Outcome<Reply>,
    ): Outcome<Reply> =
        when (val start = table.start(service, key.key, key.fingerprint)) {
            is AttemptStart.Refused ->
                if (start.code.kind ==
                    ResultKind.NOT_RUN
                ) {
                    Outcome.NotRun(start.code)
                } else {
                    Outcome.Unknown(start.code)
                }
            is AttemptStart.Earlier -> awaitEarlier(service, key, start, run)
            AttemptStart.Started -> runRegistered(service, key, run)
        }

    private suspend fun <Reply> awaitEarlier(
        service: String,
        key: CallKey,
        start: AttemptStart.Earlier,
        run: suspend () -> Outcome<Reply>,
    ): Outcome<Reply> = if (table.await(start)) Outcome.Unknown(ResultCode.FIRST_ATTEMPT_RAN) else guard(service, key, run)

    private suspend fun <Reply> runRegistered(
        service: String,
        key: CallKey,
        run: suspend () -> Outcome<Reply>,
    ): Outcome<Reply> {
        var mayHaveRun = false
        try {
            val refusal = key.earlierEntries.filter { it != identity }.firstNotNullOfOrNull { checkEarlierEntry(service, key.key, it) }
            if (refusal != null) return Outcome.Unknown(refusal).also { mayHaveRun = true }
            mayHaveRun = true
            val outcome = run()
            mayHaveRun = outcome !is Outcome.NotRun
            return outcome
        } finally {
            table.end(service, key.key, mayHaveRun)
        }
    }

    /**
     * Asks [earlierEntry] about its attempt and follows its answer to the entry VM that fenced the key.
     *
     * Returns the reason why the call must not run here, or null if it may.
     */
    private suspend fun checkEarlierEntry(
        service: String,
        key: String,
        earlierEntry: String,
    ): ResultCode? {
        var entry = earlierEntry
        repeat(MAXIMUM_HOPS) {
            val answer = ask(entry, KeyQuestion(service, key, identity)).getOrElse { return ResultCode.FIRST_ENTRY_UNREACHABLE }
            when (answer.fate) {
                KeyFate.FENCED, KeyFate.NOT_RUN -> return null
                KeyFate.RAN -> return ResultCode.FIRST_ATTEMPT_RAN
                KeyFate.FENCED_BY_OTHER -> entry = answer.other ?: return ResultCode.FIRST_ENTRY_UNREACHABLE
            }
        }
        return ResultCode.FIRST_ENTRY_UNREACHABLE
    }

    private companion object {
        /** The maximum number of entry VMs asked in a chain of fenced keys. */
        const val MAXIMUM_HOPS = 8
    }
}
