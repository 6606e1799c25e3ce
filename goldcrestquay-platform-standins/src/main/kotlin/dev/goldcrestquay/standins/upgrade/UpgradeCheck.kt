package dev.goldcrestquay.standins.upgrade

import dev.goldcrestquay.standins.platform.EntryVmProgram
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Replaces the entry VMs of a deployment one after the other by those of another build, and back, while callers send requests, a
 * version is rolled out, a target leaves and the plan changes twice.
 */
internal class UpgradeCheck(
    private val deployment: UpgradeDeployment,
    private val record: UpgradeRecord,
    private val random: Random,
) {
    private val violations = mutableListOf<String>()
    private val callers = UpgradeCallers(deployment, record, random)

    /** Since when the additional route is in the plan, or has been taken out of it. */
    @Volatile
    private var additionalRoute = RouteChange(isPresent = false, at = Duration.ZERO)

    private data class RouteChange(
        val isPresent: Boolean,
        val at: Duration,
    )

    /** Plays both directions, from [earlier] to [present] and back; returns the violations. */
    suspend fun run(
        earlier: EntryVmProgram,
        present: EntryVmProgram,
    ): List<String> {
        deployment.start(earlier, version = "v1")
        coroutineScope {
            val background = launch { runBackground(this) }
            delay(SETTLING_TIME)
            replaceAll("forward", present, from = "v1", to = "v2")
            replaceAll("back", earlier, from = "v2", to = "v3")
            background.cancel()
        }
        checkRequests()
        deployment.complaints().forEach { violation("log of $it") }
        return violations
    }

    private fun runBackground(scope: CoroutineScope) {
        scope.launch { deployment.reportTargets() }
        scope.launch { callers.followDirectory() }
        scope.launch { watchAdditionalRoute() }
        repeat(CALLER_COUNT) { scope.launch { callers.call() } }
    }

    private suspend fun replaceAll(
        direction: String,
        program: EntryVmProgram,
        from: String,
        to: String,
    ) {
        record.note(direction)
        deployment.addTargets(to)
        deployment.orderRollout(to, ROLLOUT_DURATION)
        val orderedAt = record.now
        deployment.entryVms.shuffled(random).forEachIndexed { index, entryVm ->
            when (index) {
                1 -> changeAdditionalRoute(isPresent = true)
                2 -> deployment.letOneLeave(from)
                3 -> changeAdditionalRoute(isPresent = false)
            }
            if (!deployment.replace(entryVm, program)) violation("$direction: $entryVm ran longer than its grace period")
        }
        while (deployment.verdict(to) !in FINAL_VERDICTS && record.now - orderedAt < ROLLOUT_DURATION) delay(POLL_INTERVAL)
        val verdict = deployment.verdict(to)
        record.note("verdict", mapOf("version" to to, "state" to verdict.toString()))
        if (verdict != COMPLETED) violation("$direction: the rollout of $to is $verdict, not $COMPLETED")
        deployment.retire(from)
        delay(CHANGE_TIME * 2)
        val later = deployment.verdict(to)
        if (later != verdict) violation("$direction: the verdict on $to changed from $verdict to $later")
    }

    private fun changeAdditionalRoute(isPresent: Boolean) {
        deployment.writePlan(UpgradeDeployment.BASE_KINDS + if (isPresent) listOf(ADDITIONAL_KIND) else emptyList())
        additionalRoute = RouteChange(isPresent, record.now)
    }

    /** Asks each entry VM for the additional route, again and again, and compares the answers with the plan in force. */
    private suspend fun watchAdditionalRoute() {
        var number = 0
        while (true) {
            for (entryVm in deployment.entryVms) {
                val change = additionalRoute
                val isSettled = record.now - change.at > CHANGE_TIME
                val status = callers.send(deployment.address(entryVm).host, ADDITIONAL_KIND, "watch-${number++}")
                if (!isSettled || change != additionalRoute) continue
                if (change.isPresent && status == NOT_FOUND) violation("$entryVm does not know a route added at ${change.at}")
                if (!change.isPresent && status == OK) violation("$entryVm serves a route taken out at ${change.at}")
            }
            delay(POLL_INTERVAL)
        }
    }

    private fun checkRequests() {
        val runs = record.runs.groupBy { it.request }
        for (request in record.requests) {
            val runCount = runs[request.id]?.size ?: 0
            when {
                request.status == null && runCount > 0 -> violation("$request ran and was lost")
                request.status in REFUSALS && runCount > 0 -> violation("$request ran and was refused as not run")
                request.kind != "safe" && runCount > 1 -> violation("$request ran $runCount times")
                request.status == NOT_FOUND -> violation("$request was denied")
            }
        }
        for (run in record.runs) {
            val since = deployment.leavingSince[run.target] ?: continue
            if (run.at > since + CHANGE_TIME) {
                violation("${run.request} ran at ${run.target}, ${run.at - since} after it said that it leaves")
            }
        }
        val kinds = record.requests.filter { it.status == OK }.map { it.kind }
        if (!kinds.containsAll(UpgradeDeployment.BASE_KINDS)) violation("not every kind of request was served")
    }

    private fun violation(text: String) {
        synchronized(violations) { violations += text }
        record.note("violation", mapOf("text" to text))
    }

    private companion object {
        const val CALLER_COUNT = 12
        const val ADDITIONAL_KIND = "download"
        const val OK = 200
        const val NOT_FOUND = 404
        const val COMPLETED = "completed"
        val REFUSALS = setOf(429, 503)
        val FINAL_VERDICTS = setOf(COMPLETED, "rolled_back")

        /** The time by which a change of the plan is in force, and a target that leaves gets no more requests. */
        val CHANGE_TIME = 2.seconds
        val SETTLING_TIME = 4.seconds
        val ROLLOUT_DURATION = 40.seconds
        val POLL_INTERVAL = 200.milliseconds
    }
}
