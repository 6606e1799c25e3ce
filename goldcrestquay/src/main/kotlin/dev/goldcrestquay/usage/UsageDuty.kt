package dev.goldcrestquay.usage

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.StoreResult
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Reports the usage of each window to the platform while this entry VM holds the duty.
 *
 * The duty is held by the process whose claim is the newest in the store; the claim's offset gives the fencing token. A window's counts
 * are written to the store before they are sent, on the condition that nothing else was written, so that all holders send the same.
 * A holder sends only while a recent call to the store has shown that its claim is the newest, and waits for [UsageSettings.leaseTime]
 * after its claim, so that no two send at once. docs/design/usage.md has the reasons. Confined to the entry VM's event loop.
 */
internal class UsageDuty(
    private val role: UsageRole,
    private val settings: UsageSettings,
    private val links: UsageLinks,
    private val counts: UsageCounts,
    private val time: TrueTime,
    private val clock: Clock,
    private val report: (UsageEvent) -> Unit,
) {
    /** A claim of this process; it sends from [actsFrom] of the runtime's clock on. */
    private class Held(
        val token: Long,
        val actsFrom: Duration,
        val isFirst: Boolean,
    )

    private enum class Step { DONE, IDLE, FAILED }

    private val ledger = UsageLedger(::skipUnreadable)
    private val sender = UsageSender(role.name, settings, links.call, time, clock, report)
    private var held: Held? = null
    private var wantedSince: Duration? = null
    private var confirmedAt = -Duration.INFINITE
    private var claimsFrom = Duration.ZERO
    private var refusedToken = 0L
    private var failures = 0
    private var hasLoaded = false

    /** Since then some process has been counting that overlapped with this one, or with one that did. */
    private var coveredFrom = Long.MAX_VALUE

    /** No window up to this one is written any more. */
    private var closedThrough: Long? = null

    /** Takes steps until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            while (true) {
                when (runStep { call -> launch { call() } }) {
                    Step.DONE -> failures = 0
                    Step.IDLE -> delay(IDLE_PAUSE)
                    Step.FAILED -> delay(UsageSender.retryPause(failures++))
                }
            }
        }

    private suspend fun runStep(launchCall: (suspend () -> Unit) -> Unit): Step =
        try {
            step(launchCall)
        } catch (error: Throwable) {
            // A link may end a call as if it were cancelled; only the cancellation of the duty itself ends the duty.
            currentCoroutineContext().ensureActive()
            report(UsageEvent.DutyStepFailed(error.toString()))
            Step.FAILED
        }

    private suspend fun step(launchCall: (suspend () -> Unit) -> Unit): Step {
        coveredFrom = minOf(coveredFrom, role.oldestStart())
        if (!role.isWanted()) {
            wantedSince = null
            failures = 0
            return Step.IDLE
        }
        val since = wantedSince ?: clock().also { wantedSince = it }
        if (clock() - since < SETTLING_TIME) return Step.IDLE
        val holding = held ?: return claim()
        if (clock() < holding.actsFrom) return Step.IDLE
        // What was read before another led, or has been forgotten since, doesn't tell which windows are due.
        if (ledger.end == null || confirmedAt < since) return if (refresh()) Step.DONE else Step.FAILED
        val due = dueWindow(holding)
        if (due != null) return write(due, holding)
        val next = sender.next(ledger.unsent(sender.accepted)) ?: return Step.IDLE
        if (!mayAct(holding)) return if (refresh() && mayAct(holding)) Step.DONE else Step.FAILED
        sender.begin(next)
        launchCall { send(next, holding) }
        return Step.IDLE
    }

    /** Claims the duty, unless an earlier claim without an answer turns out to be the newest. */
    private suspend fun claim(): Step {
        if (clock() < claimsFrom) return Step.IDLE
        if (!refresh()) return Step.FAILED
        if (held != null || clock() < claimsFrom) return Step.DONE
        val end = ledger.end ?: return Step.FAILED
        val newClaim = UsageClaim(ledger.tokenAt(end), role.process)
        val isFirst = ledger.claim == null
        return if (append(UsageLedger.encode(newClaim), end)) {
            adopt(newClaim, isFirst)
            Step.DONE
        } else {
            Step.FAILED
        }
    }

    private fun adopt(
        claim: UsageClaim,
        isFirst: Boolean,
    ) {
        val wait = if (isFirst) Duration.ZERO else settings.leaseTime
        held = Held(claim.token, clock() + wait, isFirst)
        report(UsageEvent.Claimed(claim.token, wait))
    }

    private fun lose(reason: String) {
        val lost = held ?: return
        held = null
        // Another that claimed while this entry VM did not lead has most likely stopped leading since.
        val heldWhileWanted = confirmedAt >= (wantedSince ?: Duration.INFINITE)
        if (heldWhileWanted || refusedToken == lost.token) claimsFrom = clock() + settings.leaseTime * CLAIM_PAUSE_LEASES
        report(UsageEvent.HolderLost(lost.token, reason))
    }

    /** The store was restored: what was read of it, and the claim, may not be there any more. */
    private fun loseRestored() {
        ledger.clear()
        lose("the store was restored")
    }

    /** Reads what is new in the store; returns whether that succeeded. */
    private suspend fun refresh(): Boolean {
        val known = ledger.end ?: loadNewest() ?: return false
        val askedAt = clock()
        val read =
            when (val result = withTimeoutOrNull(STORE_TIMEOUT) { links.store.read(known) } ?: NO_ANSWER) {
                is StoreResult.Done -> result.value
                StoreResult.Forgotten, StoreResult.Conflict -> return false.also { ledger.clear() }
                is StoreResult.Unavailable -> return false.also { report(UsageEvent.DutyStepFailed("read: ${result.reason}")) }
            }
        if (read.epoch > ledger.epoch) {
            loseRestored()
            return false
        }
        apply(read)
        confirm(askedAt)
        return true
    }

    /** Reads the newest records; returns the offset to read on from, or null when that failed. */
    private suspend fun loadNewest(): Long? {
        val result = withTimeoutOrNull(STORE_TIMEOUT) { links.store.newest() } ?: NO_ANSWER
        if (result !is StoreResult.Done) {
            report(UsageEvent.DutyStepFailed("newest: $result"))
            return null
        }
        val knownEpoch = ledger.epoch.takeIf { hasLoaded } ?: result.value.epoch
        apply(result.value)
        hasLoaded = true
        if (ledger.epoch > knownEpoch || ledger.claim?.let(ledger::isBeforeRestore) == true) closeThroughNow("the store was restored")
        return ledger.end
    }

    private fun apply(read: TopicRecords) {
        val unsent = ledger.apply(read, sender.accepted)
        if (unsent.isNotEmpty()) {
            report(
                UsageEvent.WindowsLost(unsent.first(), unsent.last(), "no answer of the platform while they were kept"),
            )
        }
        ledger.newestWindow?.let { sender.forgetBefore(it - UsageSettings.RETAINED_WINDOWS) }
    }

    /** Takes note that the store showed the newest claim by a call that began at [askedAt]. */
    private fun confirm(askedAt: Duration) {
        val newest = ledger.claim
        if (newest?.process == role.process && newest.token > refusedToken && !ledger.isBeforeRestore(newest)) {
            if (held?.token != newest.token) adopt(newest, isFirst = false)
            confirmedAt = askedAt
        } else {
            lose("${newest?.process} holds the duty with ${newest?.token}")
        }
    }

    /** Appends a [record] at [end]; returns whether it is known to be there. */
    private suspend fun append(
        record: Pair<String, String>,
        end: Long,
    ): Boolean {
        val (key, value) = record
        val askedAt = clock()
        return when (val result = withTimeoutOrNull(STORE_TIMEOUT) { links.store.append(key, value, end) } ?: NO_ANSWER) {
            is StoreResult.Done -> {
                if (result.value > ledger.epoch) return false.also { loseRestored() }
                apply(TopicRecords(listOf(TopicRecord(key, value, end)), end + 1, ledger.epoch))
                confirmedAt = askedAt
                true
            }
            StoreResult.Conflict, StoreResult.Forgotten -> false.also { refresh() }
            is StoreResult.Unavailable -> {
                report(UsageEvent.DutyStepFailed("append: ${result.reason}"))
                // The record may be there, or may come to be there as long as nothing else is.
                false.also { refresh() }
            }
        }
    }

    /** The next window to be written, or null while none has ended for long enough; windows that can't be told are passed over. */
    private fun dueWindow(holding: Held): Long? {
        val newest = settings.windowAt(time.now() - settings.writeDelay.inWholeMilliseconds) - 1
        val oldestRetained = newest - UsageSettings.RETAINED_WINDOWS + TOLD_MARGIN
        val isStart = holding.isFirst && ledger.newestWindow == null
        val written = ledger.newestWindow ?: ((if (isStart) firstAtStart(oldestRetained) else firstCovered()) - 1)
        val next = maxOf(closedThrough ?: written, written) + 1
        if (next > newest) return null
        val oldestCovered = if (isStart) next else firstCovered()
        val tellable = maxOf(next, oldestCovered, oldestRetained)
        if (tellable > next) {
            val through = minOf(tellable - 1, newest)
            val reason = if (through < oldestCovered) "all that counted them have ended" else "they are too old"
            report(UsageEvent.WindowsLost(next, through, reason))
            closedThrough = through
        }
        return tellable.takeIf { it <= newest }
    }

    /** The first window that some process has counted from its start on. */
    private fun firstCovered(): Long = settings.windowAt(coveredFrom - 1) + 1

    /** When the duty is held for the first time, the window in which the deployment started is whole; nothing ran before. */
    private fun firstAtStart(oldestRetained: Long): Long = maxOf(settings.windowAt(coveredFrom), oldestRetained)

    /** Leaves out all windows up to the present one: it is not known which of them were written, and with what. */
    private fun closeThroughNow(reason: String) {
        val window = settings.windowAt(time.now())
        val from = maxOf(closedThrough ?: Long.MIN_VALUE, ledger.newestWindow ?: (window - 1)) + 1
        if (from > window) return
        report(UsageEvent.WindowsLost(from, window, reason))
        closedThrough = window
    }

    private suspend fun write(
        window: Long,
        holding: Held,
    ): Step {
        val totals = counts.totals(window)
        val end = ledger.end ?: return if (refresh()) Step.DONE else Step.FAILED
        if (!append(UsageLedger.encode(UsageRecord(window, totals, ledger.sentThrough(sender.accepted))), end)) return Step.FAILED
        report(UsageEvent.WindowWritten(window, holding.token, totals.values.sum(), totals.size, counts.processCount(window)))
        return Step.DONE
    }

    private suspend fun send(
        pending: UsageSender.PendingCall,
        holding: Held,
    ) {
        if (!sender.send(pending, holding.token) { mayAct(holding) }) return
        refusedToken = maxOf(refusedToken, holding.token)
        if (held === holding) lose("the platform has seen a higher token")
    }

    /** Whether a call may be sent now: nobody else can have waited for the lease since the store showed this claim as the newest. */
    private fun mayAct(holding: Held): Boolean =
        held === holding && clock() >= holding.actsFrom && clock() < confirmedAt + settings.leaseTime * ACTING_SHARE

    private fun skipUnreadable(
        record: TopicRecord,
        reason: String,
    ) {
        report(UsageEvent.RecordUnreadable(record.key, record.offset, reason))
        closeThroughNow("a record can't be read")
    }

    private companion object {
        /** How long this entry VM must have been wanted without a break; most changes of the leader settle in that time. */
        val SETTLING_TIME = 500.milliseconds

        val IDLE_PAUSE = 200.milliseconds

        /** The store answers within milliseconds, a slow one within a second. */
        val STORE_TIMEOUT = 1500.milliseconds

        /** The part of the lease in which calls are sent; the rest is for calls under way, and for runtimes' clocks that differ in rate. */
        const val ACTING_SHARE = 0.75

        /** The newest window to be written may have ended two windows before the present one, and the oldest retained one may just go. */
        const val TOLD_MARGIN = 3

        /** A holder that has lost the duty to another while both led leaves it to that one for so many leases. */
        const val CLAIM_PAUSE_LEASES = 2

        val NO_ANSWER = StoreResult.Unavailable("no answer")
    }
}
