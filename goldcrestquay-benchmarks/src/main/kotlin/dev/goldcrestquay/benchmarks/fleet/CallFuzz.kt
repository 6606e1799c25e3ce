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

/** What a target and the connection to it do with one attempt. */
enum class AttemptFault {
    NONE,
    CONNECTION_REFUSED,
    SHEDS,
    DRAINS,
    RESET_BEFORE_RUN,
    RESET_AFTER_RUN,
    ANSWER_BROKEN_OFF,
    LATE,
    FAILS,
}

/**
 * One attempt of a caller.
 *
 * @property call which call it is an attempt of; the same number again is a repeat.
 * @property entry the entry VM it goes to.
 * @property startMilliseconds when it is sent; a repeat may overtake the attempt before it.
 * @property fault what happens to its first sending.
 * @property nextFault what happens to later sendings.
 * @property entryDies whether the entry VM is killed while it runs.
 */
data class CallerAttempt(
    val call: Int,
    val entry: Int,
    val startMilliseconds: Int,
    val fault: AttemptFault,
    val nextFault: AttemptFault,
    val entryDies: Boolean,
)

/** Histories of attempts, many of them repeats of each other. */
val callHistories: Arb<List<CallerAttempt>> =
    Arb.list(
        Arb.bind(Arb.int(0..5), Arb.int(0..3), Arb.int(0..400), Arb.enum<AttemptFault>(), Arb.enum<AttemptFault>(), Arb.int(0..11)) {
            call,
            entry,
            start,
            fault,
            nextFault,
            death,
            ->
            CallerAttempt(call, entry, start, fault, nextFault, death == 0)
        },
        2..14,
    )

/** Runs one history and throws where a call ran twice, a refusal was untrue or an answer went astray. */
fun runCallHistory(
    history: List<CallerAttempt>,
    seed: Long,
): Unit =
    runTest(timeout = 10.minutes) {
        CallHistory(this, seed).run(history)
    }

private class CallHistory(
    private val scope: TestScope,
    seed: Long,
) {
    /** Every call may be sent again, so that short histories reach the rules about repeats. */
    private val fleet = FakeFleet(scope, seed, EntrySettings(routing = RoutingSettings(retryShare = 1.0)))
    private val runs = mutableMapOf<Int, Int>()
    private val ran = mutableSetOf<CallerAttempt>()
    private val identities = mutableListOf<String>()
    private val tried = mutableMapOf<Int, List<String>>()

    suspend fun run(history: List<CallerAttempt>) {
        fleet.publish(fuzzEnvironment)
        repeat(ENTRIES) {
            identities +=
                fleet
                    .start("vm-$it", "a")
                    .vm.members.self.identity
        }
        delay(START_MILLISECONDS)
        coroutineScope { history.sortedBy { it.startMilliseconds }.forEach { attempt -> launch { attempt(attempt) } } }
        delay(SETTLE_MILLISECONDS)
        val twice = runs.filterValues { it > 1 }
        check(twice.isEmpty()) { "calls $twice ran more than once" }
    }

    /** An attempt names the entry VMs of all attempts sent before it, as callers do. */
    private suspend fun attempt(attempt: CallerAttempt) {
        delay(attempt.startMilliseconds.toLong())
        val name = "vm-${attempt.entry}"
        val earlier = tried[attempt.call].orEmpty()
        tried[attempt.call] = earlier + identities[attempt.entry]
        val delayed = fleet.random.nextLong(LONGEST_TRANSIT)
        delay(delayed)
        val vm = fleet.vms[name]?.vm ?: return
        var outcome: Outcome<Int>? = null
        val job =
            scope.backgroundScope.launch {
                val call = Call("desk", idempotent = false, deadline = fleet.clock() + DEADLINE)
                outcome =
                    vm.call(call, CallKey("call-${attempt.call}", attempt.call, earlier)) { target, sent ->
                        send(target, attempt, if (sent.number == 1) attempt.fault else attempt.nextFault)
                    }
            }
        if (attempt.entryDies) die(name, job)
        job.join()
        outcome?.let { judge(attempt, it) }
    }

    private suspend fun die(
        name: String,
        job: Job,
    ) {
        delay(fleet.random.nextLong(LONGEST_SERVICE))
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
            else -> afterRun(attempt, fault)
        }
    }

    private suspend fun afterRun(
        attempt: CallerAttempt,
        fault: AttemptFault,
    ): SendResult<Int> {
        runs.merge(attempt.call, 1, Int::plus)
        ran += attempt
        delay(if (fault == AttemptFault.LATE) LATE_MILLISECONDS else fleet.random.nextLong(LONGEST_SERVICE))
        return when (fault) {
            AttemptFault.RESET_AFTER_RUN -> SendResult.Broken()
            AttemptFault.ANSWER_BROKEN_OFF -> SendResult.Broken(ResultCode.ANSWER_TRUNCATED)
            else -> SendResult.Replied(attempt.call, failed = fault == AttemptFault.FAILS)
        }
    }

    private fun judge(
        attempt: CallerAttempt,
        outcome: Outcome<Int>,
    ) {
        when (outcome) {
            is Outcome.Answered -> {
                check(outcome.reply == attempt.call) { "$attempt got the answer to call ${outcome.reply}" }
                outcome.finish(true)
            }
            is Outcome.NotRun ->
                check(attempt !in ran) { "$attempt was refused as not run (${outcome.code}) but ran" }
            is Outcome.Unknown -> Unit
        }
    }

    private companion object {
        const val ENTRIES = 4
        const val START_MILLISECONDS = 4000L
        const val SETTLE_MILLISECONDS = 20_000L
        const val LONGEST_TRANSIT = 300L
        const val LONGEST_SERVICE = 100L
        const val LATE_MILLISECONDS = 5000L
        val DEADLINE = 2000.milliseconds
    }
}
