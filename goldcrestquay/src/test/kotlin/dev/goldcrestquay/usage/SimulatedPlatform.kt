package dev.goldcrestquay.usage

import dev.goldcrestquay.link.StoreResult
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random

/** How a call to an outside system goes wrong; late calls are carried out after their caller has given up, if they still may be. */
internal enum class Trouble { NONE, REFUSED, ANSWER_LOST, LATE, SILENT, SLOW }

/** The duty's topic in a store under virtual time; [trouble] is asked for each call. */
internal class SimulatedStore(
    private val scope: CoroutineScope,
    private val random: Random,
) {
    private val log = mutableListOf<TopicRecord>()
    var epoch = 0L
        private set
    var trouble: () -> Trouble = { Trouble.NONE }
    var calls = 0
        private set

    /** Loses all records from [size] on, as after a restore from an older copy. */
    fun restore(size: Int) {
        log.subList(size, log.size).clear()
        epoch++
    }

    private var firstRetained = 0

    /** Forgets all records but the newest one of each key, which no read from an earlier offset gives. */
    fun forgetHistory() {
        firstRetained = log.size
    }

    val size: Int get() = log.size

    /** Appends a record as another writer might. */
    fun write(
        key: String,
        value: String,
    ) {
        log += TopicRecord(key, value, log.size.toLong())
    }

    fun link(path: suspend () -> Unit): UsageStoreLink =
        UsageStoreLink(
            newest = {
                serve(
                    path,
                ) { StoreResult.Done(TopicRecords(log.associateBy { it.key }.values.toList(), log.size.toLong(), epoch)) }
            },
            read = { from ->
                serve(path) {
                    if (from > log.size || from < firstRetained) {
                        StoreResult.Forgotten
                    } else {
                        StoreResult.Done(TopicRecords(log.drop(from.toInt()), log.size.toLong(), epoch))
                    }
                }
            },
            append = { key, value, end -> serve(path) { append(key, value, end) } },
        )

    private fun append(
        key: String,
        value: String,
        end: Long,
    ): StoreResult<Long> {
        if (log.size.toLong() != end) return StoreResult.Conflict
        log += TopicRecord(key, value, end)
        return StoreResult.Done(epoch)
    }

    private suspend fun <T> serve(
        path: suspend () -> Unit,
        act: () -> StoreResult<T>,
    ): StoreResult<T> {
        path()
        calls++
        delay(CALL_MILLISECONDS)
        when (trouble()) {
            Trouble.NONE -> Unit
            Trouble.SLOW -> {
                delay(random.nextLong(0, 600))
                return act().also { delay(random.nextLong(0, 900)) }
            }
            Trouble.REFUSED -> return StoreResult.Unavailable("refused")
            Trouble.SILENT -> awaitCancellation()
            Trouble.ANSWER_LOST -> {
                act()
                awaitCancellation()
            }
            Trouble.LATE -> {
                scope.launch {
                    delay(random.nextLong(100, 8_000))
                    act()
                }
                awaitCancellation()
            }
        }
        return act().also { path() }
    }

    private companion object {
        const val CALL_MILLISECONDS = 4L
    }
}

/** The platform's API under virtual time, which keeps what it got; [isFenced] says whether it refuses tokens lower than those seen. */
internal class SimulatedApi(
    private val scope: CoroutineScope,
    private val random: Random,
    private val isFenced: Boolean,
    private val now: () -> Long,
) {
    /** A call that arrived [at] this time; [isExcused] if it was held up on its way. */
    class Arrival(
        val at: Long,
        val call: UsageCall,
        val isExcused: Boolean,
    )

    val arrivals = mutableListOf<Arrival>()

    /** The reports that were accepted, with the time. */
    val accepted = mutableListOf<Pair<Long, UsageCall>>()
    var trouble: () -> Trouble = { Trouble.NONE }
    var throttles: () -> Boolean = { false }

    /** The highest token seen. */
    var highest = 0L

    suspend fun call(
        call: UsageCall,
        isExcused: Boolean,
    ): UsageAnswer {
        if (throttles()) return UsageAnswer.Throttled
        arrivals += Arrival(now(), call, isExcused)
        when (trouble()) {
            Trouble.NONE -> Unit
            Trouble.SLOW -> delay(random.nextLong(500, 5_000))
            Trouble.REFUSED -> return UsageAnswer.Unknown("status 503")
            Trouble.SILENT -> awaitCancellation()
            Trouble.ANSWER_LOST -> {
                execute(call)
                awaitCancellation()
            }
            Trouble.LATE -> {
                scope.launch {
                    delay(random.nextLong(100, 9_000))
                    execute(call)
                }
                awaitCancellation()
            }
        }
        return execute(call)
    }

    private fun execute(call: UsageCall): UsageAnswer {
        if (isFenced && call.token < highest) return UsageAnswer.Fenced
        highest = maxOf(highest, call.token)
        accepted += now() to call
        return UsageAnswer.Accepted
    }

    /** The rules that were broken, each with what broke it. */
    fun faults(leaseMilliseconds: Long): List<String> {
        val differing = accepted.groupBy { it.second.window }.filterValues { calls -> calls.distinctBy { it.second.counts }.size > 1 }
        val shared = arrivals.groupBy { it.call.token }.filterValues { calls -> calls.distinctBy { it.call.holder }.size > 1 }
        val counted = arrivals.filterNot { it.isExcused }
        val lower = counted.withIndex().filter { (index, arrival) -> counted.take(index).any { it.call.token > arrival.call.token } }
        val returned =
            counted.withIndex().filter { (index, last) ->
                val recent = counted.take(index).filter { last.at - it.at < leaseMilliseconds }
                val first = recent.indexOfFirst { it.call.holder == last.call.holder }
                first >= 0 && recent.drop(first).any { it.call.holder != last.call.holder }
            }
        return differing.keys.map { "two counts for window $it" } + shared.keys.map { "two holders with token $it" } +
            lower.map { "lower token ${it.value.call.token} at ${it.value.at}" } +
            returned.map { "${it.value.call.holder} acts again at ${it.value.at}" }
    }
}
