package dev.goldcrestquay.machine

import dev.goldcrestquay.link.Clock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reads the store before a request is placed by records that are old.
 *
 * The records come from the store over the leader and up to two peers, any of which may stall or fail, and so may this entry VM
 * itself: only the age of the records when a request is placed tells. While the store does not answer this entry VM, requests are
 * placed by the last records. Confined to the entry VM's event loop.
 */
public class RecordRefresher(
    private val state: SharedState,
    private val storeReader: StoreReader,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val report: (FleetEvent) -> Unit,
) {
    private var refresh: Job? = null
    private var failures = 0
    private var retryAt = Duration.ZERO

    /** Returns once the records are younger than [MAXIMUM_AGE], or an attempt to read the store has failed; all requests share one. */
    public suspend fun refreshIfOld() {
        if (state.age() < MAXIMUM_AGE) return
        if (refresh?.isActive != true) {
            if (clock() < retryAt) return
            refresh = scope.launch { refresh() }
        }
        withTimeoutOrNull(MAXIMUM_WAIT) { refresh?.join() }
    }

    private suspend fun refresh() {
        val age = state.age()
        val startedAt = clock()
        // Counts as failed until it has succeeded, so that an unexpected error is not repeated for each request either.
        retryAt = startedAt + RETRY_PAUSE * (1 shl failures.coerceAtMost(MAXIMUM_DOUBLINGS))
        failures++
        val succeeded = storeReader.catchUp()
        if (succeeded) {
            failures = 0
            retryAt = Duration.ZERO
        }
        report(FleetEvent.OldRecordsRefreshed(age, succeeded, clock() - startedAt))
    }

    private companion object {
        /** Above the age that records usually reach; what is left of two seconds covers the wait, the probes and the way to the target. */
        val MAXIMUM_AGE = 1300.milliseconds

        /** The longest time that a request waits for the store. */
        val MAXIMUM_WAIT = 300.milliseconds

        /** The pause after the first failed attempt; a hundred entry VMs try while the store is unavailable. */
        val RETRY_PAUSE = 2.seconds

        /** How often the pause doubles, to 8 s. */
        const val MAXIMUM_DOUBLINGS = 2
    }
}
