package dev.goldcrestquay.standins.lab

import dev.goldcrestquay.contract.Environment
import dev.goldcrestquay.contract.LogRecords
import dev.goldcrestquay.contract.Service
import dev.goldcrestquay.contract.Target
import dev.goldcrestquay.contract.changeBetween
import dev.goldcrestquay.daemon.DaemonSettings
import dev.goldcrestquay.daemon.EntryDaemon
import dev.goldcrestquay.http.PlatformVm
import dev.goldcrestquay.link.asClock
import dev.goldcrestquay.standins.PlatformServer
import dev.goldcrestquay.standins.RunRecord
import dev.goldcrestquay.standins.TargetBehaviour
import dev.goldcrestquay.standins.TargetServer
import io.opentelemetry.api.OpenTelemetry
import io.vertx.core.Vertx
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** A platform, targets and entry VMs running on loopback in this process. */
class Deployment(
    private val vertx: Vertx,
    private val experiment: Experiment,
    private val document: Environment,
) {
    private val random = Random(experiment.seed)
    private val platform = PlatformServer(vertx, TimeSource.Monotonic.asClock())
    private var platformAddress = ""
    private var incarnations = 0

    /** Everything that targets ran. */
    val runs = ConcurrentLinkedQueue<RunRecord>()

    /** The targets by name. */
    val targets = ConcurrentHashMap<String, TargetServer>()

    /** The entry VMs by name. */
    val entries = ConcurrentHashMap<String, EntryDaemon>()

    /** The environment's log. */
    val log get() = platform.stream(STREAM)

    /** The document in force at most entry VMs, or the one this deployment starts with. */
    var environment: Environment = document
        private set

    /** Starts everything and waits until every entry VM is ready. */
    suspend fun start() {
        platformAddress = "$HOST:${platform.start(HOST, 0).actualPort()}"
        environment = document.copy(services = document.services.map { startTargets(it) })
        publish(environment)
        val dataCentres = document.regions.flatMap { it.dataCentres }.map { it.name }
        for (dataCentre in dataCentres) {
            for (number in 1..experiment.entriesPerDataCentre) startEntry("$dataCentre-entry-$number", dataCentre)
        }
        while (entries.values.any { !it.entryVm.ready || it.entryVm.members.alive.size < entries.size }) delay(START_CHECK)
    }

    /** Publishes [newEnvironment] on the generation in force. */
    fun publish(newEnvironment: Environment) {
        val state = entries.values.map { it.entryVm.environments.state }.maxByOrNull { it.offset }
        val change = changeBetween("lab-${random.nextLong()}", state?.generation ?: 0, state?.environment, newEnvironment)
        log.append(LogRecords.write(change))
        environment = newEnvironment
    }

    /** Starts a target's process for [target] and returns it with its address. */
    suspend fun startTarget(
        target: Target,
        behaviour: TargetBehaviour,
        port: Int = 0,
    ): Target {
        val server = TargetServer(vertx, target.name, target.version, behaviour, Random(random.nextLong()), runs)
        val actualPort = server.start(HOST, port)
        targets[target.name] = server
        return target.copy(address = "$HOST:$actualPort")
    }

    /** How the targets of [service] behave without faults. */
    fun behaviourOf(
        service: String,
        target: Target,
    ): TargetBehaviour {
        val mean = experiment.loads.firstOrNull { it.service == service }?.meanMilliseconds ?: TargetBehaviour().meanMilliseconds
        return TargetBehaviour(slots = target.slots, meanMilliseconds = mean)
    }

    /** Starts an entry VM. */
    suspend fun startEntry(
        name: String,
        dataCentre: String,
    ) {
        val settings = DaemonSettings(name, dataCentre, HOST, 0, 0, 0, platformAddress, STREAM, eventLoops = 1)
        val daemon = EntryDaemon(vertx, settings, OpenTelemetry.noop(), random = Random(experiment.seed + incarnations++))
        daemon.start()
        entries[name] = daemon
        listVms()
    }

    /** Ends an entry VM at once, as a failing machine would. */
    suspend fun stopEntry(name: String) {
        entries.remove(name)?.stop()
    }

    /** Lets an entry VM leave without cutting calls. */
    suspend fun drainEntry(name: String) {
        entries.remove(name)?.drain()
        listVms()
    }

    /** Ends everything. */
    suspend fun stop() {
        entries.values.forEach { it.stop() }
        targets.values.forEach { it.stop() }
    }

    private suspend fun startTargets(service: Service): Service =
        service.copy(targets = service.targets.map { startTarget(it, behaviourOf(service.name, it)) })

    private fun listVms() {
        platform.vms =
            entries.values.map { daemon ->
                val self = daemon.entryVm.members.self
                PlatformVm(self.name, self.dataCentre, self.peerAddress)
            }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val STREAM = "lab"
        val START_CHECK = 50.milliseconds
    }
}
