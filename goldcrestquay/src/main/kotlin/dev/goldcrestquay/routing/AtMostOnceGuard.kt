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
 * @property earlierEntries the identities of all entry VMs that got an attempt before this one; empty for a first attempt.
 * @property fingerprint tells calls apart that wrongly share a key.
 */
public data class CallKey(
    val key: String,
    val fingerprint: Int,
    val earlierEntries: List<String> = emptyList(),
)

/** Asks the entry VM with the given identity about an attempt. */
public typealias AskEntry = suspend (String, KeyQuestion) -> Result<KeyAnswer, LinkFailure>

/**
 * Lets a keyed call run at most once over all entry VMs that its caller tries.
 *
 * The key is registered here before any other entry VM is asked, so that of two repeats each finds the other. A repeat names
 * every entry VM tried before: the attempt before it may not have arrived and so cannot name the ones before itself.
 */
public class AtMostOnceGuard(
    private val identity: String,
    private val table: AttemptTable,
    private val ask: AskEntry,
) {
    /** Runs [run] unless an earlier attempt of the same key ran or may have run. */
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
            is AttemptStart.Earlier -> earlier(service, key, start, run)
            AttemptStart.Started -> started(service, key, run)
        }

    private suspend fun <Reply> earlier(
        service: String,
        key: CallKey,
        start: AttemptStart.Earlier,
        run: suspend () -> Outcome<Reply>,
    ): Outcome<Reply> = if (table.await(start)) Outcome.Unknown(ResultCode.FIRST_ATTEMPT_RAN) else guard(service, key, run)

    private suspend fun <Reply> started(
        service: String,
        key: CallKey,
        run: suspend () -> Outcome<Reply>,
    ): Outcome<Reply> {
        var mayHaveRun = false
        try {
            val refusal = key.earlierEntries.filter { it != identity }.firstNotNullOfOrNull { resolve(service, key.key, it) }
            if (refusal != null) return Outcome.Unknown(refusal).also { mayHaveRun = true }
            mayHaveRun = true
            val outcome = run()
            mayHaveRun = outcome !is Outcome.NotRun
            return outcome
        } finally {
            table.end(service, key.key, mayHaveRun)
        }
    }

    /** Returns why the call must not run here, or null when it may. */
    private suspend fun resolve(
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
        const val MAXIMUM_HOPS = 8
    }
}
