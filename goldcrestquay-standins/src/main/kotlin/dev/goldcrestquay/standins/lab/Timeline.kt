package dev.goldcrestquay.standins.lab

import dev.goldcrestquay.contract.Move
import dev.goldcrestquay.contract.MoveStep
import dev.goldcrestquay.standins.TargetBehaviour
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An event that was triggered at the time [at] since the start of the load. */
data class OccurredEvent(
    val event: Event,
    val at: Duration,
)

/** Triggers the events of an experiment at their times; [elapsed] is the time since the start of the load. */
class Timeline(
    private val experiment: Experiment,
    private val deployment: Deployment,
    private val elapsed: () -> Duration,
) {
    /** The events triggered so far, in order. */
    val occurredEvents = mutableListOf<OccurredEvent>()

    /** Triggers all events and waits until they are done; a long one does not delay those after it. */
    suspend fun run(): Unit =
        coroutineScope {
            for (event in experiment.timeline.sortedBy { it.atSeconds }) {
                delay(event.atSeconds.seconds - elapsed())
                occurredEvents += OccurredEvent(event, elapsed())
                launch { perform(event) }
            }
        }

    private suspend fun perform(event: Event) {
        val subject = event.subject.orEmpty()
        val environment = deployment.environment
        when (event.kind) {
            EventKind.DATA_CENTRE_OUT -> deployment.publish(environment.copy(dataCentresOut = environment.dataCentresOut + subject))
            EventKind.DATA_CENTRE_BACK -> deployment.publish(environment.copy(dataCentresOut = environment.dataCentresOut - subject))
            EventKind.LOG_DOWN -> deployment.log.down = true
            EventKind.LOG_UP -> deployment.log.down = false
            EventKind.TARGET_SLOWDOWN -> changeBehaviour(subject) { it.copy(slowdownFactor = event.amount) }
            EventKind.TARGET_FAILS -> changeBehaviour(subject) { it.copy(failureShare = event.amount) }
            EventKind.TARGET_RESTARTS -> restartTarget(subject)
            EventKind.ENTRY_STOPS -> deployment.stopEntry(subject)
            EventKind.ENTRY_REPLACED -> replaceEntry(subject)
            EventKind.ALL_ENTRIES_REPLACED -> replaceAllEntries()
            EventKind.MOVE -> startMove(event)
        }
    }

    private fun changeBehaviour(
        target: String,
        change: (TargetBehaviour) -> TargetBehaviour,
    ) {
        deployment.targets[target]?.let { it.behaviour = change(it.behaviour) }
    }

    /** Stops a target and starts it again on the same port; it is cold until it has run [WARM_UP_CALLS] calls. */
    private suspend fun restartTarget(name: String) {
        val service = deployment.environment.services.first { service -> service.targets.any { it.name == name } }
        val target = service.targets.first { it.name == name }
        deployment.targets.getValue(name).stop()
        val behaviour = deployment.behaviourOf(service.name, target).copy(coldConcurrency = 1, warmUpCalls = WARM_UP_CALLS)
        deployment.startTarget(target, behaviour, target.address.substringAfterLast(':').toInt())
    }

    private suspend fun replaceAllEntries(): Unit =
        coroutineScope {
            for (name in deployment.entries.keys.sorted()) {
                launch { replaceEntry(name) }
                delay(REPLACEMENT_DELAY)
            }
        }

    /** Starts a new entry VM, waits for [REPLACEMENT_DELAY] and then drains the old one. */
    private suspend fun replaceEntry(name: String) {
        val old = deployment.entries[name] ?: return
        val dataCentre = old.entryVm.members.self.dataCentre
        deployment.startEntry("$name.n", dataCentre)
        delay(REPLACEMENT_DELAY)
        deployment.drainEntry(name)
    }

    /** Starts targets of a new version and publishes a move to it; [Event.amount] is the share of calls to the new targets that fail. */
    private suspend fun startMove(event: Event) {
        val environment = deployment.environment
        val service = environment.service(event.subject.orEmpty()) ?: return
        val newTargets =
            service.targets.map { old ->
                val target = old.copy(name = "${old.name}-v2", version = NEW_VERSION)
                deployment.startTarget(target, deployment.behaviourOf(service.name, old).copy(failureShare = event.amount))
            }
        val holdMilliseconds = event.seconds * MILLISECONDS_PER_SECOND / STEP_HOLD_DIVISOR
        val move =
            Move(
                name = "${service.name}-to-$NEW_VERSION",
                service = service.name,
                fromVersion = service.targets.first().version,
                toVersion = NEW_VERSION,
                steps = listOf(MoveStep(5.0, holdMilliseconds), MoveStep(50.0, holdMilliseconds), MoveStep(100.0, holdMilliseconds)),
                deadline = Instant.now().plusSeconds(event.seconds.toLong()).toString(),
            )
        val changedService = service.copy(targets = service.targets + newTargets)
        val services = environment.services.map { if (it.name == service.name) changedService else it }
        deployment.publish(environment.copy(services = services, moves = environment.moves + move))
    }

    private companion object {
        const val NEW_VERSION = "2"
        const val WARM_UP_CALLS = 50
        const val MILLISECONDS_PER_SECOND = 1000L

        /** Divides the time until the deadline: each of the three steps of a move is held for a sixth of it, all of them for half. */
        const val STEP_HOLD_DIVISOR = 6

        /** The time from the start of a new entry VM until the old one drains, and between the starts when all are replaced. */
        val REPLACEMENT_DELAY = 1500.milliseconds
    }
}
