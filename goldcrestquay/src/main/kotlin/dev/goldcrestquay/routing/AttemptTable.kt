package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.KeyAnswer
import dev.goldcrestquay.link.KeyFate
import dev.goldcrestquay.link.KeyQuestion
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** The result of [AttemptTable.start]. */
public sealed interface AttemptStart {
    /** The attempt may run; [AttemptTable.end] must follow. */
    public data object Started : AttemptStart

    /** The attempt must not run, for the reason in [code]. */
    public data class Refused(
        val code: ResultCode,
    ) : AttemptStart

    /** An attempt with the same key is running or has ended at this entry VM. */
    public class Earlier internal constructor(
        internal val end: CompletableDeferred<Boolean>,
    ) : AttemptStart
}

/**
 * The attempts of non-idempotent calls at one entry VM, by service and idempotency key.
 *
 * An entry VM that receives a retry asks this table about the first attempt. If that attempt has not been seen here, its key is
 * fenced: should the attempt still arrive, it is refused as not run.
 *
 * @property retention how long an ended or fenced key is kept.
 * @property capacity the maximum number of keys; when it is reached, attempts under new keys are refused as not run.
 */
public class AttemptTable(
    private val clock: Clock,
    private val retention: Duration = 10.minutes,
    private val capacity: Int = 100_000,
) {
    private class Entry(
        val fingerprint: Int?,
        val end: CompletableDeferred<Boolean>,
        var fencedBy: String? = null,
        var expiresAt: Duration = Duration.INFINITE,
    )

    private val lock = ReentrantLock()
    private val entries = linkedMapOf<Pair<String, String>, Entry>()

    /** The number of keys kept. */
    public val size: Int get() = lock.withLock { entries.size }

    /** Starts an attempt under [key]; the [fingerprint] of its content detects different calls that share a key by mistake. */
    public fun start(
        service: String,
        key: String,
        fingerprint: Int,
    ): AttemptStart =
        lock.withLock {
            removeExpired()
            val known = entries[service to key]
            when {
                known == null && entries.size >= capacity -> AttemptStart.Refused(ResultCode.KEYS_FULL)
                known == null -> {
                    entries[service to key] = Entry(fingerprint, CompletableDeferred())
                    AttemptStart.Started
                }
                known.fencedBy != null -> AttemptStart.Refused(ResultCode.KEY_FENCED)
                known.fingerprint != fingerprint -> AttemptStart.Refused(ResultCode.KEY_REUSED)
                else -> AttemptStart.Earlier(known.end)
            }
        }

    /** Ends an attempt; [mayHaveRun] is false only if it provably did not run, in which case its key is free again. */
    public fun end(
        service: String,
        key: String,
        mayHaveRun: Boolean,
    ): Unit =
        lock.withLock {
            val entry = entries[service to key] ?: return
            if (!mayHaveRun && entry.fencedBy == null) entries.remove(service to key) else entry.expiresAt = clock() + retention
            entry.end.complete(mayHaveRun)
        }

    /** Waits until an earlier attempt at this entry VM ends; returns whether it may have run. */
    public suspend fun await(earlier: AttemptStart.Earlier): Boolean = earlier.end.await()

    /** Answers another entry VM's question about a key; waits while an attempt under that key is running. */
    public suspend fun answer(question: KeyQuestion): KeyAnswer {
        val entry = fenceOrFind(question)
        val fencer = lock.withLock { entry.fencedBy }
        val neverSeen = entry.fingerprint == null
        if (neverSeen && fencer == question.asker) return KeyAnswer(KeyFate.FENCED)
        if (neverSeen) return KeyAnswer(KeyFate.FENCED_BY_OTHER, fencer)
        if (entry.end.await()) return KeyAnswer(KeyFate.RAN)
        return afterNotRun(question)
    }

    /** Answers for an attempt that ended without running and left no entry: the asker fences the key unless another has done so. */
    private fun afterNotRun(question: KeyQuestion): KeyAnswer {
        val entry = fenceOrFind(question)
        val fencer = lock.withLock { entry.fencedBy }
        return when (fencer) {
            question.asker -> KeyAnswer(KeyFate.NOT_RUN)
            null -> KeyAnswer(KeyFate.RAN)
            else -> KeyAnswer(KeyFate.FENCED_BY_OTHER, fencer)
        }
    }

    private fun fenceOrFind(question: KeyQuestion): Entry =
        lock.withLock {
            removeExpired()
            entries.getOrPut(question.service to question.key) {
                Entry(null, CompletableDeferred(false), question.asker, clock() + retention)
            }
        }

    private fun removeExpired() {
        val now = clock()
        entries.values.removeIf { it.expiresAt < now }
    }
}
