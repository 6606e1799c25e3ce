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

/** An event as it happened, at [at] after the start of the load. */
data class Happened(
    val event: Event,
    val at: Duration,
)

/** Brings about the events of an experiment at their times. */
class Timeline(
    private val experiment: Experiment,
    private val deployment: Deployment,
    private val elapsed: () -> Duration,
) {
    /** The events that have happened. */
    val happened = mutableListOf<Happened>()

    /** Runs all events; those that take a while run beside the later ones. */
    suspend fun run(): Unit =
        coroutineScope {
            for (event in experiment.timeline.sortedBy { it.atSeconds }) {
                delay(event.atSeconds.seconds - elapsed())
                happened += Happened(event, elapsed())
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
            EventKind.TARGET_SLOWDOWN -> behave(subject) { it.copy(slowdown = event.amount) }
            EventKind.TARGET_FAILS -> behave(subject) { it.copy(failureShare = event.amount) }
            EventKind.TARGET_RESTARTS -> restart(subject)
            EventKind.ENTRY_STOPS -> deployment.stopEntry(subject)
            EventKind.ENTRY_REPLACED -> replace(subject)
            EventKind.ALL_ENTRIES_REPLACED -> replaceAll()
            EventKind.MOVE -> move(event)
        }
    }

    private fun behave(
        target: String,
        change: (TargetBehaviour) -> TargetBehaviour,
    ) {
        deployment.targets[target]?.let { it.behaviour = change(it.behaviour) }
    }

    private suspend fun restart(name: String) {
        val service = deployment.environment.services.first { service -> service.targets.any { it.name == name } }
        val target = service.targets.first { it.name == name }
        deployment.targets.getValue(name).stop()
        val behaviour = deployment.behaviourOf(service.name, target).copy(coldCalls = 1, coldUntilRun = COLD_CALLS)
        deployment.startTarget(target, behaviour, target.address.substringAfterLast(':').toInt())
    }

    private suspend fun replaceAll(): Unit =
        coroutineScope {
            for (name in deployment.entries.keys.sorted()) {
                launch { replace(name) }
                delay(REPLACE_PAUSE)
            }
        }

    /** A new VM comes first, then the old one leaves. */
    private suspend fun replace(name: String) {
        val old = deployment.entries[name] ?: return
        val dataCentre = old.entryVm.members.self.dataCentre
        deployment.startEntry("$name.n", dataCentre)
        delay(REPLACE_PAUSE)
        deployment.drainEntry(name)
    }

    /** Starts new targets beside the old ones and publishes a move to them; [Event.amount] is the share of their calls that fail. */
    private suspend fun move(event: Event) {
        val environment = deployment.environment
        val service = environment.service(event.subject.orEmpty()) ?: return
        val started =
            service.targets.map { old ->
                val target = old.copy(name = "${old.name}-v2", version = NEW_VERSION)
                deployment.startTarget(target, deployment.behaviourOf(service.name, old).copy(failureShare = event.amount))
            }
        val hold = event.seconds * MILLISECONDS / HOLDS_BEFORE_DEADLINE
        val move =
            Move(
                name = "${service.name}-to-$NEW_VERSION",
                service = service.name,
                fromVersion = service.targets.first().version,
                toVersion = NEW_VERSION,
                steps = listOf(MoveStep(5.0, hold), MoveStep(50.0, hold), MoveStep(100.0, hold)),
                deadline = Instant.now().plusSeconds(event.seconds.toLong()).toString(),
            )
        val changed = service.copy(targets = service.targets + started)
        val services = environment.services.map { if (it.name == service.name) changed else it }
        deployment.publish(environment.copy(services = services, moves = environment.moves + move))
    }

    private companion object {
        const val NEW_VERSION = "2"
        const val COLD_CALLS = 50
        const val MILLISECONDS = 1000L
        const val HOLDS_BEFORE_DEADLINE = 6
        val REPLACE_PAUSE = 1500.milliseconds
    }
}
