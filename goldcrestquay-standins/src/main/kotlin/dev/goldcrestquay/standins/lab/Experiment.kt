package dev.goldcrestquay.standins.lab

import com.github.michaelbull.result.Result
import dev.goldcrestquay.contract.JsonDocument
import dev.goldcrestquay.contract.Problem
import dev.goldcrestquay.contract.ProblemList
import dev.goldcrestquay.contract.ResultCode
import kotlinx.serialization.Serializable

/**
 * An experiment: a deployment under load with a timeline of faults and operations.
 *
 * @property deployment the path of the environment document, relative to the experiment's file; the targets in it get loopback addresses.
 * @property entriesPerDataCentre the number of entry VMs started in each data centre.
 * @property durationSeconds how long each load runs, in seconds.
 * @property seed the seed of all random choices of the deployment and the load.
 * @property loads the open-loop load of each service.
 * @property timeline the events and their times, in any order.
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
        /** Parses an experiment, or returns all problems found in [text]. */
        fun read(text: String): Result<Experiment, List<Problem>> = JsonDocument.read(text, serializer()) { it.problems() }

        private val ENTRIES_PER_DATA_CENTRE_RANGE = 1..10
        private val DURATION_SECONDS_RANGE = 1..600
        private val CALLS_PER_SECOND_RANGE = 0.1..20_000.0
    }

    private fun problems(): List<Problem> {
        val problems = ProblemList()
        problems.requireInRange(entriesPerDataCentre, ENTRIES_PER_DATA_CENTRE_RANGE, "$.entriesPerDataCentre")
        problems.requireInRange(durationSeconds, DURATION_SECONDS_RANGE, "$.durationSeconds")
        loads.forEachIndexed { index, load ->
            problems.requireInRange(load.callsPerSecond, CALLS_PER_SECOND_RANGE, "$.loads[$index].callsPerSecond")
        }
        timeline.forEachIndexed { index, event ->
            val path = "$.timeline[$index]"
            problems.requireInRange(event.atSeconds, 0.0..durationSeconds.toDouble(), "$path.atSeconds")
            val needsSubject = event.kind.needsSubject
            problems.require(
                !needsSubject || event.subject != null,
                ResultCode.MISSING_KEY,
                "$path.subject",
            ) { "${event.kind} needs a subject" }
        }
        return problems.problems
    }
}

/**
 * The load on one service.
 *
 * @property callsPerSecond the mean rate of calls.
 * @property meanMilliseconds the mean service time of its targets, in milliseconds.
 * @property nonIdempotentShare the share of calls that must run at most once, from 0 to 1.
 */
@Serializable
data class Load(
    val service: String,
    val callsPerSecond: Double,
    val meanMilliseconds: Double = 10.0,
    val nonIdempotentShare: Double = 0.2,
)

/**
 * The kind of an event on the timeline.
 *
 * @property needsSubject whether the event must name its subject.
 */
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
 * @property atSeconds the time of the event, in seconds since the start of the load.
 * @property subject the name of the data centre, target, entry VM or service that the event applies to, depending on [kind].
 * @property amount the factor of a slowdown, or the share of calls that fail, from 0 to 1; for a move, at its new version.
 * @property seconds for a move, the time until its deadline, in seconds.
 */
@Serializable
data class Event(
    val atSeconds: Double,
    val kind: EventKind,
    val subject: String? = null,
    val amount: Double = 0.0,
    val seconds: Int = 20,
)
