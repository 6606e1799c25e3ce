package dev.goldcrestquay.usage

import dev.goldcrestquay.link.Clock
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends the windows that were written to the platform until it has them, each call repeated without change.
 *
 * Several windows may be under way at once, since a slow platform must not hold up later ones. Confined to the entry VM's event loop.
 */
internal class UsageSender(
    private val holder: String,
    private val settings: UsageSettings,
    private val call: UsageCallLink,
    private val time: TrueTime,
    private val clock: Clock,
    private val report: (UsageEvent) -> Unit,
) {
    /** A report that the platform may not have; it is sent, or sent again, from [sendsFrom] of the runtime's clock on. */
    class PendingCall(
        val record: UsageRecord,
    ) {
        var isUnderWay = false
        var failures = 0
        var sendsFrom = Duration.ZERO
    }

    private val pendingCalls = HashMap<Long, PendingCall>()
    private val acceptedWindows = HashSet<Long>()
    private var callsFrom = Duration.ZERO

    /** The windows that the platform has. */
    val accepted: Set<Long> get() = acceptedWindows

    /** Forgets which windows before [window] the platform has. */
    fun forgetBefore(window: Long) {
        acceptedWindows.removeIf { it < window }
    }

    /** The call among the [unsent] windows to be sent now, or null. */
    fun next(unsent: List<UsageRecord>): PendingCall? {
        if (clock() < callsFrom) return null
        pendingCalls.keys.retainAll(unsent.mapTo(HashSet()) { it.window })
        return unsent.map { pendingCalls.getOrPut(it.window) { PendingCall(it) } }.firstOrNull { !it.isUnderWay && clock() >= it.sendsFrom }
    }

    /** Marks [pending] as under way; to be called before [send]. */
    fun begin(pending: PendingCall) {
        pending.isUnderWay = true
        callsFrom = clock() + settings.callInterval
    }

    /** Sends [pending] with [token] if [maySend]; returns whether the platform refused the token. */
    suspend fun send(
        pending: PendingCall,
        token: Long,
        maySend: () -> Boolean,
    ): Boolean {
        try {
            val usage = UsageCall(holder, token, pending.record.window, pending.record.counts)
            val timeout = ANSWER_TIMEOUT * (1 + pending.failures.coerceAtMost(MAXIMUM_TIMEOUT_STEPS))
            when (val answer = withTimeoutOrNull(timeout) { call(usage, maySend) } ?: SILENCE) {
                UsageAnswer.Accepted -> recordAccepted(usage)
                UsageAnswer.Fenced -> return true
                UsageAnswer.Throttled -> repeatLater(pending, token, "too many calls")
                is UsageAnswer.Unknown -> repeatLater(pending, token, answer.reason)
            }
        } catch (error: Throwable) {
            currentCoroutineContext().ensureActive()
            repeatLater(pending, token, error.toString())
        } finally {
            pending.isUnderWay = false
        }
        return false
    }

    private fun repeatLater(
        pending: PendingCall,
        token: Long,
        reason: String,
    ) {
        pending.sendsFrom = clock() + retryPause(pending.failures++)
        report(UsageEvent.CallFailed(pending.record.window, token, reason))
    }

    private fun recordAccepted(usage: UsageCall) {
        acceptedWindows += usage.window
        val after = (time.now() - settings.startOf(usage.window + 1)).milliseconds
        report(UsageEvent.WindowSent(usage.window, usage.token, after, after > settings.dueAfter))
    }

    companion object {
        private val RETRY_PAUSE = 250.milliseconds

        /** The pause between failures doubles this often, to 2 s. */
        private const val MAXIMUM_DOUBLINGS = 3

        /** Two repeats after this time come before the window is due. */
        private val ANSWER_TIMEOUT = 3.seconds

        /** Each repeat waits longer for its answer by [ANSWER_TIMEOUT], so often: a slow platform has answered by then. */
        private const val MAXIMUM_TIMEOUT_STEPS = 2

        private val SILENCE = UsageAnswer.Unknown("no answer")

        /** The pause after a failure that so many [failures] in a row preceded. */
        fun retryPause(failures: Int): Duration = RETRY_PAUSE * (1 shl failures.coerceAtMost(MAXIMUM_DOUBLINGS))
    }
}
