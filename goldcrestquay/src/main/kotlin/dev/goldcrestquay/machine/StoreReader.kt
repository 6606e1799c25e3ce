package dev.goldcrestquay.machine

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.StoreLink
import dev.goldcrestquay.link.StoreRecords
import dev.goldcrestquay.link.StoreResult
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Follows the store's feeds into the shared state; one step reads every feed once. */
public class StoreReader(
    private val store: StoreLink,
    private val state: SharedState,
    private val clock: Clock,
    private val report: (FleetEvent) -> Unit,
) {
    private val positions = HashMap<Feed, Long>()
    private val confirmed = HashMap<Feed, Duration>()
    private val deferred = mutableListOf<SharedRecord>()
    private var failingSince: Duration? = null
    private var graceUntil = Duration.ZERO

    /** The offset that follows the last verdict read. */
    public val verdictsEndOffset: Long get() = positions[Feed.VERDICTS] ?: 0

    /**
     * Reads what targets wrote, then what operators wrote, waiting up to [wait] for an order; returns whether all was read.
     *
     * The first call tells how slow the store is. The wait is shortened by it, so that a slow store does not make facts older.
     */
    public suspend fun step(wait: Duration): Boolean {
        val started = clock()
        if (!follow(Feed.TARGETS, Duration.ZERO, SILENT_LIMIT)) return false
        val took = clock() - started
        val orderWait = (wait - took * 2).coerceAtLeast(Duration.ZERO)
        val done = follow(Feed.OPERATOR, orderWait, orderWait + CALL_LIMIT + took * 2)
        applyDeferred()
        return done
    }

    /** Loads every feed whole, the verdicts too; returns whether all was read. */
    public suspend fun load(): Boolean =
        coroutineScope {
            val done =
                Feed.entries
                    .map { async { load(it) } }
                    .awaitAll()
                    .all { it }
            applyDeferred()
            done
        }

    /** Reads the verdicts written since; returns whether that was done. */
    public suspend fun readVerdicts(): Boolean = follow(Feed.VERDICTS, Duration.ZERO, SILENT_LIMIT)

    private suspend fun follow(
        feed: Feed,
        wait: Duration,
        limit: Duration,
    ): Boolean {
        val position = positions[feed] ?: return load(feed)
        val asked = clock()
        val result = withTimeoutOrNull(limit) { store.read(feed, position, wait) } ?: StoreResult.Unavailable("no answer")
        return when (result) {
            is StoreResult.Done -> {
                noteAvailable()
                result.value.records.forEach { take(it) }
                positions[feed] = result.value.end
                confirmed(feed, if (result.value.records.isEmpty()) clock() - CALL_TIME else asked)
                true
            }
            is StoreResult.Forgotten -> load(feed)
            else -> unavailable(feed, result)
        }
    }

    private suspend fun load(feed: Feed): Boolean {
        val asked = clock()
        val result = withTimeoutOrNull(LOAD_LIMIT) { store.newest(feed) } ?: StoreResult.Unavailable("no answer")
        if (result !is StoreResult.Done<StoreRecords>) return unavailable(feed, result)
        noteAvailable()
        result.value.records.forEach { take(it) }
        state.removals(feed, result.value.records.mapTo(HashSet()) { it.key }, result.value.end).forEach { take(it) }
        positions[feed] = result.value.end
        confirmed(feed, asked)
        report(FleetEvent.Loaded(feed, result.value.records.size, result.value.end))
        return true
    }

    private fun unavailable(
        feed: Feed,
        result: StoreResult<*>,
    ): Boolean {
        if (failingSince == null) failingSince = clock()
        report(FleetEvent.StoreFailed(feed, result.toString()))
        return false
    }

    /** After an absence of the store, entries that vanished may return and are kept for a short while. */
    private fun noteAvailable() {
        val since = failingSince
        val outdated = state.confirmedAt != null && state.age() > ABSENCE
        if (since != null) {
            failingSince = null
            report(FleetEvent.StoreReturned(clock() - since))
        }
        if (since != null || outdated) graceUntil = clock() + LAPSE_GRACE
    }

    private fun take(record: SharedRecord) {
        val vanished = record is TargetRecord && record.target == null
        if (vanished && clock() < graceUntil && state.isReady(record.key)) {
            deferred += record
        } else {
            state.apply(record)
        }
    }

    private fun applyDeferred() {
        if (deferred.isEmpty() || clock() < graceUntil) return
        deferred.forEach { state.apply(it) }
        deferred.clear()
    }

    /** Notes that [feed] was read up to its end at [time]; the facts are as fresh as the older of the two feeds that matter. */
    private fun confirmed(
        feed: Feed,
        time: Duration,
    ) {
        confirmed[feed] = time
        val operator = confirmed[Feed.OPERATOR] ?: return
        val targets = confirmed[Feed.TARGETS] ?: return
        state.confirm(minOf(operator, targets))
    }

    private companion object {
        /** The store answers in a few milliseconds; beyond this and twice its last answer's time a connection is taken for dead. */
        val CALL_LIMIT = 400.milliseconds

        /** A store that is slow answers within this; one that is silent is left in time for another reader. */
        val SILENT_LIMIT = 1000.milliseconds

        /** Pages of a large fleet take several calls. */
        val LOAD_LIMIT = 1500.milliseconds

        /** Facts older than this mean that the store was away; the reader reads about once a second. */
        val ABSENCE = 1800.milliseconds

        /** Entries of living targets return within two seconds of the store's return; the rest is the time to read them. */
        val LAPSE_GRACE = 2200.milliseconds

        /** An empty answer was true when the store gave it, this long ago at most on a calm day. */
        val CALL_TIME = 20.milliseconds
    }
}

/** A change of what this entry VM believes, for logs and metrics. */
public sealed interface FleetEvent {
    /** A feed was read whole. */
    public data class Loaded(
        val feed: Feed,
        val records: Int,
        val end: Long,
    ) : FleetEvent

    /** A call to the store failed. */
    public data class StoreFailed(
        val feed: Feed,
        val reason: String,
    ) : FleetEvent

    /** The store answers again. */
    public data class StoreReturned(
        val away: Duration,
    ) : FleetEvent

    /** This entry VM's part in reading the store changed. */
    public data class FollowingChanged(
        val reader: String,
        val factsAge: Duration,
    ) : FleetEvent

    /** A peer did not answer. */
    public data class PeerSilent(
        val peer: String,
    ) : FleetEvent

    /** Facts changed. */
    public data class FactsChanged(
        val sequence: Long,
        val planVersion: Long?,
        val targets: Int,
    ) : FleetEvent

    /** A move took a step. */
    public data class RolloutStep(
        val service: String,
        val version: String,
        val phase: String,
        val reason: String,
    ) : FleetEvent
}
