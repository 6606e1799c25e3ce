package dev.goldcrestquay.standins.lab

import com.github.michaelbull.result.Result
import dev.goldcrestquay.contract.JsonDocument
import dev.goldcrestquay.contract.Problem
import dev.goldcrestquay.contract.ProblemList
import dev.goldcrestquay.contract.ResultCode
import kotlinx.serialization.Serializable

/**
 * One experiment: a deployment under load, with faults on a timeline.
 *
 * @property deployment the environment document, relative to the experiment's file; targets get loopback addresses.
 * @property entriesPerDataCentre the entry VMs started in each data centre.
 * @property loads the open-loop load of each service.
 * @property timeline what happens when.
 */
@Serializable
data class Experiment(
    val name: String,
    val deployment: String,
    val entriesPerDataCentre: Int = 5,
    val durationSeconds: Int,
    val seed: Long = 1,
    val loads: List<Load>,
    val timeline: List<Event> = emptyList(),
) {
    companion object {
        /** Reads an experiment, or lists every fault. */
        fun read(text: String): Result<Experiment, List<Problem>> = JsonDocument.read(text, serializer()) { it.problems() }

        private val ENTRIES = 1..10
        private val SECONDS = 1..600
        private val RATE = 0.1..20_000.0
    }

    private fun problems(): List<Problem> {
        val list = ProblemList()
        list.requireInRange(entriesPerDataCentre, ENTRIES, "$.entriesPerDataCentre")
        list.requireInRange(durationSeconds, SECONDS, "$.durationSeconds")
        loads.forEachIndexed { index, load -> list.requireInRange(load.callsPerSecond, RATE, "$.loads[$index].callsPerSecond") }
        timeline.forEachIndexed { index, event ->
            val path = "$.timeline[$index]"
            list.requireInRange(event.atSeconds, 0.0..durationSeconds.toDouble(), "$path.atSeconds")
            val needsSubject = event.kind.needsSubject
            list.require(
                !needsSubject || event.subject != null,
                ResultCode.MISSING_KEY,
                "$path.subject",
            ) { "${event.kind} needs a subject" }
        }
        return list.problems
    }
}

/**
 * The load on one service.
 *
 * @property meanMilliseconds the mean service time of its targets.
 * @property nonIdempotentShare the share of calls that must run at most once.
 */
@Serializable
data class Load(
    val service: String,
    val callsPerSecond: Double,
    val meanMilliseconds: Double = 10.0,
    val nonIdempotentShare: Double = 0.2,
)

/** What can happen in an experiment. */
@Serializable
enum class EventKind(
    val needsSubject: Boolean = true,
) {
    DATA_CENTRE_OUT,
    DATA_CENTRE_BACK,
    LOG_DOWN(needsSubject = false),
    LOG_UP(needsSubject = false),
    TARGET_SLOWDOWN,
    TARGET_FAILS,
    TARGET_RESTARTS,
    ENTRY_STOPS,
    ENTRY_REPLACED,
    ALL_ENTRIES_REPLACED(needsSubject = false),
    MOVE,
}

/**
 * One event of the timeline.
 *
 * @property subject the data centre, target, entry VM or service concerned.
 * @property amount the slowdown factor, the failing share, or for a move the new version's failing share.
 * @property seconds for a move, the time until its deadline.
 */
@Serializable
data class Event(
    val atSeconds: Double,
    val kind: EventKind,
    val subject: String? = null,
    val amount: Double = 0.0,
    val seconds: Int = 20,
)
