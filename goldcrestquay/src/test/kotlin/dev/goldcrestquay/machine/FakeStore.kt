package dev.goldcrestquay.machine

import dev.goldcrestquay.link.StoreLink
import dev.goldcrestquay.link.StoreRecords
import dev.goldcrestquay.link.StoreResult
import dev.goldcrestquay.move.RolloutVerdict
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds

/** How the store treats one entry VM's calls. */
internal enum class Access { SERVED, REFUSED, SILENT }

/** An in-memory store under virtual time; [access] decides which entry VMs it serves. */
internal class FakeStore {
    private val logs = Feed.entries.associateWith { mutableListOf<SharedRecord>() }
    private var written = CompletableDeferred<Unit>()

    /** How the store treats the calls of the entry VM with a given name. */
    var access: (String) -> Access = { Access.SERVED }

    /** The time before the store acts on a call. */
    var callTime = 4.milliseconds

    /** The calls received so far. */
    var calls = 0
        private set

    /** Appends the record that [make] gives for the next offset. */
    fun write(
        feed: Feed,
        make: (Long) -> SharedRecord,
    ) {
        val log = logs.getValue(feed)
        log += make(log.size.toLong())
        written.complete(Unit)
        written = CompletableDeferred()
    }

    /** Returns to a copy that has only the first [kept] records of each feed; reads that are held fail. */
    fun restore(kept: Map<Feed, Int>) {
        epoch++
        kept.forEach { (feed, size) -> logs.getValue(feed).subList(size, logs.getValue(feed).size).clear() }
        written.complete(Unit)
        written = CompletableDeferred()
    }

    /** The number of records of [feed]. */
    fun size(feed: Feed): Int = logs.getValue(feed).size

    /** The verdict on the rollout of the service `shop` that the store holds. */
    fun verdict(): RolloutVerdict? = (logs.getValue(Feed.VERDICTS).lastOrNull { it.key == "rollout/shop" } as? VerdictRecord)?.verdict

    private var epoch = 1L

    /** Drops the history of [feed]: from now on only the newest record of each key can be read. */
    fun dropHistory(feed: Feed) {
        firstRetained += feed to logs.getValue(feed).size.toLong()
    }

    private val firstRetained = HashMap<Feed, Long>()

    fun link(name: String): StoreLink =
        StoreLink(
            newest = { feed -> serve(name) { StoreResult.Done(newest(feed)) } },
            read = { feed, from, wait ->
                serve(name) {
                    val askedIn = epoch
                    if (from < (firstRetained[feed] ?: 0) || from > logs.getValue(feed).size) {
                        StoreResult.Forgotten
                    } else {
                        if (logs.getValue(feed).size <= from) withTimeoutOrNull(wait) { awaitRecord(feed, from) }
                        if (epoch != askedIn) return@serve StoreResult.Unavailable("connection lost")
                        val records = logs.getValue(feed).drop(from.toInt())
                        StoreResult.Done(StoreRecords(records, from + records.size, epoch))
                    }
                }
            },
            writeVerdict = { service, verdict, end -> serve(name) { writeVerdict(service, verdict, end) } },
        )

    private fun writeVerdict(
        service: String,
        verdict: RolloutVerdict,
        end: Long,
    ): StoreResult<Long> {
        if (logs.getValue(Feed.VERDICTS).size.toLong() != end) return StoreResult.Conflict
        write(Feed.VERDICTS) { VerdictRecord("rollout/$service", it, service, verdict) }
        return StoreResult.Done(end)
    }

    private suspend fun awaitRecord(
        feed: Feed,
        from: Long,
    ) {
        val askedIn = epoch
        while (logs.getValue(feed).size <= from && epoch == askedIn) written.await()
    }

    private fun newest(feed: Feed): StoreRecords {
        val log = logs.getValue(feed)
        val newest = log.associateBy { it.key }.values.filterNot { it is TargetRecord && it.target == null }
        return StoreRecords(newest.toList(), log.size.toLong(), epoch)
    }

    private suspend fun <T> serve(
        name: String,
        answer: suspend () -> StoreResult<T>,
    ): StoreResult<T> {
        calls++
        delay(callTime)
        return when (access(name)) {
            Access.SERVED -> answer()
            Access.REFUSED -> StoreResult.Unavailable("refused")
            Access.SILENT -> awaitCancellation()
        }
    }
}
