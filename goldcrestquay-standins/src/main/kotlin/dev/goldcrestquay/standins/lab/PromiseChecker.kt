package dev.goldcrestquay.standins.lab

import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.contract.VerdictKind
import dev.goldcrestquay.standins.RunRecord
import kotlinx.serialization.Serializable

/** Whether one promise of the load balancer to callers or operators was kept in an experiment. */
@Serializable
data class PromiseVerdict(
    val promise: String,
    val kept: Boolean,
    val detail: String,
)

/**
 * Checks the promises of the load balancer against the calls that targets ran and the outcomes that callers saw.
 *
 * @property records all calls of the experiment, as seen by their callers.
 * @property runs all runs of calls, as recorded by the targets.
 * @property occurredEvents the events of the experiment.
 * @property state the newest environment state of any entry VM at the end of the experiment.
 * @property loadStartedAtMilliseconds when the load started, in milliseconds since the epoch.
 */
class PromiseChecker(
    private val records: List<CallRecord>,
    private val runs: List<RunRecord>,
    private val occurredEvents: List<OccurredEvent>,
    private val state: EnvironmentState,
    private val loadStartedAtMilliseconds: Long,
) {
    private val runsByCall = runs.groupingBy { it.callId }.eachCount()

    /** Returns the verdicts on all promises that the experiment tests. */
    fun checkAll(): List<PromiseVerdict> =
        listOf(checkAtMostOnce(), checkRefusals(), checkAnswers(), checkCutCalls()) + checkDataCentresOut() + checkMoves()

    private fun checkAtMostOnce(): PromiseVerdict {
        val nonIdempotent = records.filter { !it.idempotent }
        val ranMoreThanOnce = nonIdempotent.filter { (runsByCall[it.callId] ?: 0) > 1 }
        return PromiseVerdict(
            "non-idempotent calls run at most once",
            ranMoreThanOnce.isEmpty(),
            "${ranMoreThanOnce.size} of ${nonIdempotent.size} ran twice",
        )
    }

    private fun checkRefusals(): PromiseVerdict {
        val refused = records.filter { it.view == CallerView.NOT_RUN }
        val ran = refused.filter { it.callId in runsByCall }
        return PromiseVerdict("calls refused as not run did not run", ran.isEmpty(), "${ran.size} of ${refused.size} refused calls ran")
    }

    private fun checkAnswers(): PromiseVerdict {
        val foreign = records.count { it.view == CallerView.FOREIGN }
        return PromiseVerdict("each caller gets its own whole answer", foreign == 0, "$foreign foreign or short answers")
    }

    private fun checkCutCalls(): PromiseVerdict {
        val cut = records.filter { it.view == CallerView.ENTRY_LOST || it.view == CallerView.UNKNOWN }
        val machineKilled = occurredEvents.any { it.event.kind == EventKind.ENTRY_STOPS || it.event.kind == EventKind.TARGET_RESTARTS }
        val promise = if (machineKilled) "cut calls are few where a machine was killed" else "no call in flight is cut"
        val limit = if (machineKilled) records.size / CALLS_PER_TOLERATED_CUT else 0
        val codes = cut.groupingBy { "${it.view} ${it.code}" }.eachCount()
        return PromiseVerdict(promise, cut.size <= limit, "${cut.size} of ${records.size} calls cut or lost $codes")
    }

    /** Relies on target names that start with the name of their data centre and a dot. */
    private fun checkDataCentresOut(): List<PromiseVerdict> =
        occurredEvents.filter { it.event.kind == EventKind.DATA_CENTRE_OUT }.map { out ->
            val name = out.event.subject.orEmpty()
            val back =
                occurredEvents.firstOrNull {
                    it.event.kind == EventKind.DATA_CENTRE_BACK &&
                        it.event.subject == name &&
                        it.at > out.at
                }
            val from = loadStartedAtMilliseconds + out.at.inWholeMilliseconds + DATA_CENTRE_OUT_GRACE_MILLISECONDS
            val until = back?.let { loadStartedAtMilliseconds + it.at.inWholeMilliseconds } ?: Long.MAX_VALUE
            val lateRuns = runs.count { it.target.substringBefore('.') == name && it.atMilliseconds in from..until }
            PromiseVerdict("$name out gets no new work after 3 s", lateRuns == 0, "$lateRuns calls ran there later")
        }

    private fun checkMoves(): List<PromiseVerdict> =
        occurredEvents.filter { it.event.kind == EventKind.MOVE }.map { started ->
            val name = state.moves.keys.firstOrNull { it.startsWith(started.event.subject.orEmpty()) }
            val verdict = state.moves[name]?.verdict
            val expected = if (started.event.amount > 0) VerdictKind.TAKEN_BACK else VerdictKind.FINISHED
            val outcome = expected.name.lowercase().replace('_', ' ')
            PromiseVerdict("the move of ${started.event.subject} is $outcome", verdict?.kind == expected, verdict?.reason ?: "no verdict")
        }

    private companion object {
        /** How long calls may still start in a data centre after the change that takes it out is published. */
        const val DATA_CENTRE_OUT_GRACE_MILLISECONDS = 3000L

        /** After a machine was killed, at most one call in 200 may be cut. */
        const val CALLS_PER_TOLERATED_CUT = 200
    }
}
