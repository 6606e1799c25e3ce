package dev.goldcrestquay.standins.lab

import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.contract.VerdictKind
import dev.goldcrestquay.standins.RunRecord
import kotlinx.serialization.Serializable

/** Whether one promise was kept in an experiment. */
@Serializable
data class PromiseVerdict(
    val promise: String,
    val kept: Boolean,
    val detail: String,
)

/** Judges an experiment by what targets truly ran and what callers saw. */
class Verdicts(
    private val records: List<CallRecord>,
    private val runs: List<RunRecord>,
    private val happened: List<Happened>,
    private val state: EnvironmentState,
    private val loadStartedAt: Long,
) {
    private val runsByCall = runs.groupingBy { it.call }.eachCount()

    /** All verdicts. */
    fun all(): List<PromiseVerdict> = listOf(atMostOnce(), honestRefusals(), ownAnswers(), answered()) + dataCentres() + moves()

    private fun atMostOnce(): PromiseVerdict {
        val nonIdempotent = records.filter { !it.idempotent }
        val twice = nonIdempotent.filter { (runsByCall[it.call] ?: 0) > 1 }
        return PromiseVerdict("non-idempotent calls run at most once", twice.isEmpty(), "${twice.size} of ${nonIdempotent.size} ran twice")
    }

    private fun honestRefusals(): PromiseVerdict {
        val refused = records.filter { it.view == CallerView.NOT_RUN }
        val ran = refused.filter { it.call in runsByCall }
        return PromiseVerdict("calls refused as not run did not run", ran.isEmpty(), "${ran.size} of ${refused.size} refused calls ran")
    }

    private fun ownAnswers(): PromiseVerdict {
        val foreign = records.count { it.view == CallerView.FOREIGN }
        return PromiseVerdict("each caller gets its own whole answer", foreign == 0, "$foreign foreign or short answers")
    }

    private fun answered(): PromiseVerdict {
        val cut = records.filter { it.view == CallerView.ENTRY_LOST || it.view == CallerView.UNKNOWN }
        val killed = happened.any { it.event.kind == EventKind.ENTRY_STOPS || it.event.kind == EventKind.TARGET_RESTARTS }
        val promise = if (killed) "cut calls are few where a machine was killed" else "no call in flight is cut"
        val limit = if (killed) records.size / CUT_FRACTION else 0
        val codes = cut.groupingBy { "${it.view} ${it.code}" }.eachCount()
        return PromiseVerdict(promise, cut.size <= limit, "${cut.size} of ${records.size} calls cut or lost $codes")
    }

    private fun dataCentres(): List<PromiseVerdict> =
        happened.filter { it.event.kind == EventKind.DATA_CENTRE_OUT }.map { out ->
            val name = out.event.subject.orEmpty()
            val back = happened.firstOrNull { it.event.kind == EventKind.DATA_CENTRE_BACK && it.event.subject == name && it.at > out.at }
            val from = loadStartedAt + out.at.inWholeMilliseconds + OUT_MILLISECONDS
            val until = back?.let { loadStartedAt + it.at.inWholeMilliseconds } ?: Long.MAX_VALUE
            val late = runs.count { it.target.substringBefore('.') == name && it.atMilliseconds in from..until }
            PromiseVerdict("$name out gets no new work after 3 s", late == 0, "$late calls ran there later")
        }

    private fun moves(): List<PromiseVerdict> =
        happened.filter { it.event.kind == EventKind.MOVE }.map { started ->
            val name = state.moves.keys.firstOrNull { it.startsWith(started.event.subject.orEmpty()) }
            val verdict = state.moves[name]?.verdict
            val expected = if (started.event.amount > 0) VerdictKind.TAKEN_BACK else VerdictKind.FINISHED
            val words = expected.name.lowercase().replace('_', ' ')
            PromiseVerdict("the move of ${started.event.subject} is $words", verdict?.kind == expected, verdict?.reason ?: "no verdict")
        }

    private companion object {
        const val OUT_MILLISECONDS = 3000L
        const val CUT_FRACTION = 200
    }
}
