package dev.goldcrestquay.benchmarks.fleet

import dev.goldcrestquay.contract.Outcome
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.Target
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.EntrySettings
import dev.goldcrestquay.routing.Call
import dev.goldcrestquay.routing.CallKey
import dev.goldcrestquay.routing.RoutingSettings
import io.kotest.property.Arb
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** What the target, or the connection to it, does when an entry VM sends it an attempt. */
enum class AttemptFault {
    /** The target runs the call and answers in time. */
    NONE,

    CONNECTION_REFUSED,

    /** The target refuses the call under load, without running it. */
    SHEDS,

    /** The target refuses the call because it is draining, without running it. */
    DRAINS,

    /** The connection is lost and the target has not run the call, which the entry VM cannot know. */
    RESET_BEFORE_RUN,

    /** The connection is lost after the target ran the call. */
    RESET_AFTER_RUN,

    /** The connection is lost in the middle of the answer. */
    ANSWER_BROKEN_OFF,

    /** The target answers after the call's deadline. */
    LATE,

    /** The target runs the call and answers with an error. */
    FAILS,
}

/**
 * One request of a caller to an entry VM.
 *
 * @property call the number of the call; several attempts with the same number are retries of one call.
 * @property entry the number of the entry VM that the caller sends it to.
 * @property startMilliseconds when the caller sends it, since the start of the history; a retry may arrive before an earlier attempt.
 * @property fault what happens when the entry VM first sends it to a target.
 * @property laterFault what happens each time the entry VM retries it.
 * @property killsEntry whether the entry VM is killed while the attempt is in progress.
 */
data class CallerAttempt(
    val call: Int,
    val entry: Int,
    val startMilliseconds: Int,
    val fault: AttemptFault,
    val laterFault: AttemptFault,
    val killsEntry: Boolean,
)

/** Generates histories of attempts, many of which are retries of the same call. */
val callHistories: Arb<List<CallerAttempt>> =
    Arb.list(
        Arb.bind(Arb.int(0..5), Arb.int(0..3), Arb.int(0..400), Arb.enum<AttemptFault>(), Arb.enum<AttemptFault>(), Arb.int(0..11)) {
            call,
            entry,
            start,
            fault,
            laterFault,
            killDraw,
            ->
            CallerAttempt(call, entry, start, fault, laterFault, killDraw == 0)
        },
        2..14,
    )

/** Runs one history; throws if a call ran twice, or if an attempt ran although reported as not run or got the answer to another call. */
fun runCallHistory(
    history: List<CallerAttempt>,
    seed: Long,
): Unit =
    runTest(timeout = 10.minutes) {
        CallHistoryRunner(this, seed).run(history)
    }

private class CallHistoryRunner(
    private val scope: TestScope,
    seed: Long,
) {
    /** The retry budget allows a retry of every call, so that short histories exercise the rules about retries. */
    private val fleet = FakeFleet(scope, seed, EntrySettings(routing = RoutingSettings(retryShare = 1.0)))

    /** How often targets ran each call, by call number. */
    private val runCounts = mutableMapOf<Int, Int>()

    /** The attempts that reached a target which then ran the call. */
    private val attemptsRun = mutableSetOf<CallerAttempt>()

    /** The identity of each entry VM, by its number. */
    private val entryIdentities = mutableListOf<String>()

    /** The identities of the entry VMs that the attempts so far were sent to, by call number. */
    private val entriesTried = mutableMapOf<Int, List<String>>()

    suspend fun run(history: List<CallerAttempt>) {
        fleet.publish(fuzzEnvironment)
        repeat(ENTRY_VMS) {
            entryIdentities +=
                fleet
                    .start("vm-$it", "a")
                    .entryVm.members.self.identity
        }
        delay(STARTUP_MILLISECONDS)
        coroutineScope { history.sortedBy { it.startMilliseconds }.forEach { attempt -> launch { makeAttempt(attempt) } } }
        delay(SETTLE_MILLISECONDS)
        val duplicates = runCounts.filterValues { it > 1 }
        check(duplicates.isEmpty()) { "calls $duplicates ran more than once" }
    }

    /** Makes one attempt, which names the entry VMs of all earlier attempts of its call, as callers do. */
    private suspend fun makeAttempt(attempt: CallerAttempt) {
        delay(attempt.startMilliseconds.toLong())
        val name = "vm-${attempt.entry}"
        val earlier = entriesTried[attempt.call].orEmpty()
        entriesTried[attempt.call] = earlier + entryIdentities[attempt.entry]
        val transit = fleet.random.nextLong(MAXIMUM_TRANSIT_MILLISECONDS)
        delay(transit)
        val vm = fleet.vms[name]?.entryVm ?: return
        var outcome: Outcome<Int>? = null
        val job =
            scope.backgroundScope.launch {
                val call = Call("desk", idempotent = false, deadline = fleet.clock() + DEADLINE)
                outcome =
                    vm.call(call, CallKey("call-${attempt.call}", attempt.call, earlier)) { target, targetAttempt ->
                        send(target, attempt, if (targetAttempt.number == 1) attempt.fault else attempt.laterFault)
                    }
            }
        if (attempt.killsEntry) killEntry(name, job)
        job.join()
        outcome?.let { checkOutcome(attempt, it) }
    }

    private suspend fun killEntry(
        name: String,
        job: Job,
    ) {
        delay(fleet.random.nextLong(MAXIMUM_SERVICE_MILLISECONDS))
        fleet.kill(name)
        job.cancel()
    }

    private suspend fun send(
        target: Target,
        attempt: CallerAttempt,
        fault: AttemptFault,
    ): SendResult<Int> {
        delay(1)
        check(target.name.isNotEmpty())
        return when (fault) {
            AttemptFault.CONNECTION_REFUSED -> SendResult.Refused(Refusal.CONNECTION_REFUSED)
            AttemptFault.SHEDS -> SendResult.Refused(Refusal.SHEDDING)
            AttemptFault.DRAINS -> SendResult.Refused(Refusal.DRAINING)
            AttemptFault.RESET_BEFORE_RUN -> SendResult.Broken()
            else -> runAtTarget(attempt, fault)
        }
    }

    private suspend fun runAtTarget(
        attempt: CallerAttempt,
        fault: AttemptFault,
    ): SendResult<Int> {
        runCounts.merge(attempt.call, 1, Int::plus)
        attemptsRun += attempt
        delay(if (fault == AttemptFault.LATE) LATE_SERVICE_MILLISECONDS else fleet.random.nextLong(MAXIMUM_SERVICE_MILLISECONDS))
        return when (fault) {
            AttemptFault.RESET_AFTER_RUN -> SendResult.Broken()
            AttemptFault.ANSWER_BROKEN_OFF -> SendResult.Broken(ResultCode.ANSWER_TRUNCATED)
            else -> SendResult.Replied(attempt.call, failed = fault == AttemptFault.FAILS)
        }
    }

    private fun checkOutcome(
        attempt: CallerAttempt,
        outcome: Outcome<Int>,
    ) {
        when (outcome) {
            is Outcome.Answered -> {
                check(outcome.reply == attempt.call) { "$attempt got the answer to call ${outcome.reply}" }
                outcome.finish(true)
            }
            is Outcome.NotRun ->
                check(attempt !in attemptsRun) { "$attempt was reported as not run (${outcome.code}) but ran" }
            is Outcome.Unknown -> Unit
        }
    }

    private companion object {
        const val ENTRY_VMS = 4
        const val STARTUP_MILLISECONDS = 4000L
        const val SETTLE_MILLISECONDS = 20_000L
        const val MAXIMUM_TRANSIT_MILLISECONDS = 300L
        const val MAXIMUM_SERVICE_MILLISECONDS = 100L

        /** The service time of an answer that comes after [DEADLINE]. */
        const val LATE_SERVICE_MILLISECONDS = 5000L

        val DEADLINE = 2000.milliseconds
    }
}
