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

/** Reads the store's feeds into the shared state: the newest record of each key at first, then the records appended since. */
public class StoreReader(
    private val store: StoreLink,
    private val state: SharedState,
    private val clock: Clock,
    private val report: (FleetEvent) -> Unit,
) {
    private val positions = HashMap<Feed, Long>()
    private val confirmations = HashMap<Feed, Duration>()
    private var failingSince: Duration? = null
    private var lastReadTook = Duration.ZERO

    /** The epoch of the store that [positions] belong to, or null before the first answer; see [LogPosition]. */
    private var epoch: Long? = null

    /** The offset after the last verdict read. */
    public val verdictsEndOffset: Long get() = positions[Feed.VERDICTS] ?: 0

    /**
     * Reads the targets' new records, then the operators', for which the store is to wait up to [wait]; returns whether both were read.
     *
     * Calls [onTargetsRead] in between, since the second read may take the whole wait. The first read shows how slow the store is. The
     * wait is shortened by twice the time it took, so that records do not get older when the store is slow.
     */
    public suspend fun poll(
        wait: Duration,
        onTargetsRead: () -> Unit,
    ): Boolean {
        if (lastReadTook > SLOW_READ) return pollBoth(wait, onTargetsRead)
        val startedAt = clock()
        if (!readNew(Feed.TARGETS, Duration.ZERO, readTimeout())) return false
        val took = clock() - startedAt
        lastReadTook = took
        onTargetsRead()
        return readOperators(wait - took * 2, took)
    }

    /** Reads both feeds of a slow store at once, since two reads one after the other would let the records get too old. */
    private suspend fun pollBoth(
        wait: Duration,
        onTargetsRead: () -> Unit,
    ): Boolean =
        coroutineScope {
            val startedAt = clock()
            val operators = async { readOperators(wait - lastReadTook, lastReadTook) }
            val areTargetsRead = readNew(Feed.TARGETS, Duration.ZERO, readTimeout())
            if (!areTargetsRead) {
                operators.cancel()
                return@coroutineScope false
            }
            lastReadTook = clock() - startedAt
            onTargetsRead()
            operators.await()
        }

    private suspend fun readOperators(
        wait: Duration,
        usualTime: Duration,
    ): Boolean {
        val operatorWait = wait.coerceAtLeast(Duration.ZERO)
        return readNew(Feed.OPERATOR, operatorWait, operatorWait + LONG_POLL_MARGIN + usualTime * 2)
    }

    /**
     * Once a read has failed, a store that answered fast before gets little time for the next, so that another entry VM can read in time.
     */
    private fun readTimeout(): Duration =
        if (failingSince == null) READ_TIMEOUT else (lastReadTook * FAILING_READ_FACTOR).coerceIn(FAILING_READ_TIMEOUT, READ_TIMEOUT)

    /** Loads the newest record of each key of every feed, the verdicts included; returns whether all feeds were read. */
    public suspend fun load(): Boolean =
        coroutineScope {
            Feed.entries
                .map { async { load(it) } }
                .awaitAll()
                .all { it }
        }

    /** Reads what every feed has beyond the records held, or its newest records if it is not known how far they go. */
    public suspend fun resume(): Boolean =
        coroutineScope {
            Feed.entries
                .map { async { readNew(it, Duration.ZERO, LOAD_TIMEOUT) } }
                .awaitAll()
                .all { it }
        }

    /** Reads what the store has beyond the records held, whoever read those; returns whether targets and orders were read. */
    public suspend fun catchUp(): Boolean =
        readNew(Feed.TARGETS, Duration.ZERO, CATCH_UP_TIMEOUT) && readNew(Feed.OPERATOR, Duration.ZERO, CATCH_UP_TIMEOUT)

    /** Reads the verdicts written since the last read; returns whether the store answered. */
    public suspend fun readVerdicts(): Boolean = readNew(Feed.VERDICTS, Duration.ZERO, READ_TIMEOUT)

    private suspend fun readNew(
        feed: Feed,
        wait: Duration,
        timeout: Duration,
    ): Boolean {
        val position = positionOf(feed) ?: return load(feed)
        val askedAt = clock()
        val askedEpoch = epoch ?: state.epoch
        val result = withTimeoutOrNull(timeout) { store.read(feed, position, wait) } ?: StoreResult.Unavailable("no answer")
        return when (result) {
            is StoreResult.Done -> {
                if (isOutdated(result.value)) return recordFailure(feed, OUTDATED)
                recordSuccess()
                // The position belongs to a history that the store has lost: what it gave out again before the position is unknown.
                if (enterEpoch(result.value.epoch) || result.value.epoch != askedEpoch) return load()
                apply(result.value)
                state.markComplete(feed, result.value.end)
                positions.merge(feed, result.value.end, ::maxOf)
                // The store answers without records only after the wait; when that answer is handled says nothing about its age.
                confirmFeed(feed, if (result.value.end == position) minOf(askedAt + wait, clock()) else askedAt)
                true
            }
            is StoreResult.Forgotten -> load(feed)
            else -> recordFailure(feed, result)
        }
    }

    /** The offset to read [feed] from, which peers may have told; null when it must be loaded. */
    private fun positionOf(feed: Feed): Long? {
        val told = if (epoch == null || epoch == state.epoch) state.completeThrough()[feed] else null
        return listOfNotNull(positions[feed], told).maxOrNull()
    }

    private suspend fun load(feed: Feed): Boolean {
        val askedAt = clock()
        val result = withTimeoutOrNull(LOAD_TIMEOUT) { store.newest(feed) } ?: StoreResult.Unavailable("no answer")
        if (result !is StoreResult.Done<StoreRecords>) return recordFailure(feed, result)
        if (isOutdated(result.value)) return recordFailure(feed, OUTDATED)
        recordSuccess()
        enterEpoch(result.value.epoch)
        val ignored = result.value.records.count { state.holdsLaterThan(it.at(LogPosition(result.value.epoch, it.offset))) }
        apply(result.value)
        state.removals(feed, result.value.records.mapTo(HashSet()) { it.key }, result.value.end).forEach { apply(it) }
        state.markLoaded(feed, result.value.end)
        positions[feed] = result.value.end
        confirmFeed(feed, askedAt)
        report(FleetEvent.Loaded(feed, result.value.records.size, result.value.end, ignored))
        return true
    }

    private fun recordFailure(
        feed: Feed,
        result: StoreResult<*>,
    ): Boolean {
        if (failingSince == null) failingSince = clock()
        report(FleetEvent.StoreFailed(feed, result.toString()))
        return false
    }

    /**
     * Records that the store answered. After an outage, targets that were removed may register again and are kept for a short while.
     *
     * Neither failed calls of this entry VM alone nor old records alone are an outage: targets reach the store without it, and an entry VM
     * that stalled has made no call. Those that were removed then have left.
     */
    private fun recordSuccess() {
        val since = failingSince ?: return
        failingSince = null
        report(FleetEvent.StoreReturned(clock() - since))
        if (state.confirmedAt != null && state.age() > OUTAGE_AGE) state.awaitRewrites()
    }

    private fun isOutdated(records: StoreRecords): Boolean = records.epoch < state.epoch

    /** Adopts the store's [newEpoch]; returns whether the positions of an earlier one were dropped. */
    private fun enterEpoch(newEpoch: Long): Boolean {
        val previous = epoch
        epoch = newEpoch
        state.enterEpoch(newEpoch)
        if (previous == null || previous == newEpoch) return false
        report(FleetEvent.StoreRestored(newEpoch, previous))
        positions.clear()
        confirmations.clear()
        return true
    }

    private fun apply(records: StoreRecords) = records.records.forEach { apply(it.at(LogPosition(records.epoch, it.offset))) }

    private fun apply(record: SharedRecord) {
        state.apply(record)
        state.deferralOf(record)?.let { report(FleetEvent.RecordDeferred(record.feed, record.key, it)) }
    }

    /** Records that [feed] was read up to its end at [time]; the age of the state is that of the older of the two feeds polled. */
    private fun confirmFeed(
        feed: Feed,
        time: Duration,
    ) {
        confirmations[feed] = time
        val operator = confirmations[Feed.OPERATOR] ?: return
        val targets = confirmations[Feed.TARGETS] ?: return
        state.confirm(minOf(operator, targets))
    }

    private companion object {
        val OUTDATED = StoreResult.Unavailable("an answer from before the store was restored")

        /**
         * How long a long poll may take beyond its wait plus twice the time of the read before it.
         *
         * The store answers in a few milliseconds; a connection that does not answer for longer counts as dead.
         */
        val LONG_POLL_MARGIN = 400.milliseconds

        /** A store whose reads take longer is slow: many times the usual few milliseconds. */
        val SLOW_READ = 100.milliseconds

        /** A slow store answers within this; the read from one that does not answer ends early enough for another entry VM to lead. */
        val READ_TIMEOUT = 900.milliseconds

        /** The shortest timeout of a read after a failed one, many times a usual answer. */
        val FAILING_READ_TIMEOUT = 150.milliseconds

        /** The timeout of a read after a failed one, in multiples of the time that the last successful one took. */
        const val FAILING_READ_FACTOR = 4

        /** Loading takes several calls, since the records of a large fleet come in pages. */
        val LOAD_TIMEOUT = 1500.milliseconds

        /**
         * Records older than this mean that the store served no entry VM, since another one leads within two seconds otherwise.
         *
         * A target's registration lapses after three missed heartbeats, so a shorter outage does not remove a running one.
         */
        val OUTAGE_AGE = 3000.milliseconds

        /** Many times a usual answer, and a small part of the time that a request has. */
        val CATCH_UP_TIMEOUT = 150.milliseconds
    }
}

/** A change in the replication of the store, for logs and metrics. The names of the classes appear in both. */
public sealed interface FleetEvent {
    /**
     * The newest records of a feed were loaded, up to the offset [end].
     *
     * @property ignored how many of them were ignored, since a later record of the same key is held.
     */
    public data class Loaded(
        val feed: Feed,
        val records: Int,
        val end: Long,
        val ignored: Int,
    ) : FleetEvent

    /** The store was restored from an older copy: its epoch is [epoch] and was [previous] at the last read. */
    public data class StoreRestored(
        val epoch: Long,
        val previous: Long,
    ) : FleetEvent

    /** A call to the store failed. */
    public data class StoreFailed(
        val feed: Feed,
        val reason: String,
    ) : FleetEvent

    /** The store answers again after an outage of the duration [away]. */
    public data class StoreReturned(
        val away: Duration,
    ) : FleetEvent

    /**
     * What is held under [key] holds for the duration [grace] longer, though the store has another record or none.
     *
     * After an outage of the store, targets that were removed may register again. After it was restored from an older copy, operators
     * write again what it lacks.
     */
    public data class RecordDeferred(
        val feed: Feed,
        val key: String,
        val grace: Duration,
    ) : FleetEvent

    /** This entry VM follows another leader; [reader] is the leader's peer address, its own when it leads itself, or `none`. */
    public data class FollowingChanged(
        val reader: String,
        val factsAge: Duration,
    ) : FleetEvent

    /** This entry VM read the store itself, or tried to, since its records had the age [factsAge] when a request was to be placed. */
    public data class OldRecordsRefreshed(
        val factsAge: Duration,
        val succeeded: Boolean,
        val took: Duration,
    ) : FleetEvent

    /** A peer did not answer. */
    public data class PeerSilent(
        val peer: String,
    ) : FleetEvent

    /** The target called [target] said in an answer that it leaves, and gets no further requests. */
    public data class TargetLeaving(
        val target: String,
    ) : FleetEvent

    /** The target called [target] asked this entry VM for no requests for the [duration]. */
    public data class TargetSilent(
        val target: String,
        val duration: Duration,
    ) : FleetEvent

    /** What the target called [target] said of itself in an answer can't be read and does not count; reported once for each target. */
    public data class NoticeUnreadable(
        val target: String,
        val text: String,
    ) : FleetEvent

    /** A step of the replication ended with an unexpected error; it is repeated. */
    public data class StepFailed(
        val reason: String,
    ) : FleetEvent

    /** A [count] of callers were refused, or their connections closed, for the same [reason] since the last such event. */
    public data class CallersTurnedAway(
        val reason: String,
        val count: Int,
    ) : FleetEvent

    /** The event loop ran a timer [late]: this entry VM had no processor time, or one task took long. */
    public data class EventLoopStalled(
        val late: Duration,
    ) : FleetEvent

    /** This entry VM [reachesTargets] again, or no longer does and relays requests to peers. */
    public data class ReachChanged(
        val reachesTargets: Boolean,
    ) : FleetEvent

    /** Records or the member list changed; all of the [members] read messages of the [formatVersion]. */
    public data class FactsChanged(
        val sequence: Long,
        val planVersion: Long?,
        val targets: Int,
        val members: Int,
        val formatVersion: Int,
    ) : FleetEvent

    /**
     * The leader changed the admission level of [service] for all entry VMs.
     *
     * @property openness the share of the offered work that the service takes.
     * @property pressure the share of the requests let through that found no room.
     * @property arrivals the requests of about the last second that this is based on.
     * @property shares the share of the requests taken, by priority and route, where it is below 1.
     */
    public data class AdmissionLevelChanged(
        val service: String,
        val openness: Double,
        val pressure: Double,
        val arrivals: Double,
        val shares: Map<String, Double>,
    ) : FleetEvent

    /** A rollout changed its phase, or its verdict could not be written. */
    public data class RolloutStep(
        val service: String,
        val version: String,
        val phase: String,
        val reason: String,
    ) : FleetEvent
}
