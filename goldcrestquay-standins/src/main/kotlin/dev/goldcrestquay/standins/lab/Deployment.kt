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

/** A platform stand-in, target stand-ins and entry VMs that run in this process on the loopback interface. */
class Deployment(
    private val vertx: Vertx,
    private val experiment: Experiment,
    private val initialEnvironment: Environment,
) {
    private val random = Random(experiment.seed)
    private val platform = PlatformServer(vertx, TimeSource.Monotonic.asClock())
    private var platformAddress = ""
    private var entryStarts = 0

    /** One record for each run of a call on a target. */
    val runs = ConcurrentLinkedQueue<RunRecord>()

    /** The running targets by name. */
    val targets = ConcurrentHashMap<String, TargetServer>()

    /** The running entry VMs by name. */
    val entries = ConcurrentHashMap<String, EntryDaemon>()

    /** The platform's log that the environment is published to. */
    val log get() = platform.log(STREAM)

    /** The environment published last, or the initial one before [start]; entry VMs adopt it with a delay. */
    var environment: Environment = initialEnvironment
        private set

    /** Starts the platform, targets and entry VMs; waits until every entry VM is ready and sees all others as alive. */
    suspend fun start() {
        platformAddress = "$HOST:${platform.start(HOST, 0).actualPort()}"
        environment = initialEnvironment.copy(services = initialEnvironment.services.map { startTargets(it) })
        publish(environment)
        val dataCentres = initialEnvironment.regions.flatMap { it.dataCentres }.map { it.name }
        for (dataCentre in dataCentres) {
            for (number in 1..experiment.entriesPerDataCentre) startEntry("$dataCentre-entry-$number", dataCentre)
        }
        while (entries.values.any { !it.entryVm.ready || it.entryVm.members.alive.size < entries.size }) delay(READY_CHECK_INTERVAL)
    }

    /** Publishes [newEnvironment] as a change of the newest environment that any entry VM has adopted. */
    fun publish(newEnvironment: Environment) {
        val state = entries.values.map { it.entryVm.environments.state }.maxByOrNull { it.offset }
        val change = changeBetween("lab-${random.nextLong()}", state?.generation ?: 0, state?.environment, newEnvironment)
        log.append(LogRecords.write(change))
        environment = newEnvironment
    }

    /** Starts a stand-in for [target] on [port], or a free port for 0; returns [target] with the actual address. */
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

    /** The behaviour of [target], a target of [service], without faults. */
    fun behaviourOf(
        service: String,
        target: Target,
    ): TargetBehaviour {
        val mean = experiment.loads.firstOrNull { it.service == service }?.meanMilliseconds ?: TargetBehaviour().meanMilliseconds
        return TargetBehaviour(slots = target.slots, meanMilliseconds = mean)
    }

    /** Starts an entry VM and adds it to the VM list of the platform. */
    suspend fun startEntry(
        name: String,
        dataCentre: String,
    ) {
        val settings = DaemonSettings(name, dataCentre, HOST, 0, 0, 0, platformAddress, STREAM, eventLoops = 1)
        val daemon = EntryDaemon(vertx, settings, OpenTelemetry.noop(), random = Random(experiment.seed + entryStarts++))
        daemon.start()
        entries[name] = daemon
        updateVmList()
    }

    /** Stops an entry VM abruptly, as a machine failure does; the VM list of the platform is not updated. */
    suspend fun stopEntry(name: String) {
        entries.remove(name)?.stop()
    }

    /** Drains an entry VM, so that no call in flight is cut, then removes it from the VM list of the platform. */
    suspend fun drainEntry(name: String) {
        entries.remove(name)?.drain()
        updateVmList()
    }

    /** Stops all entry VMs and targets; the platform keeps running. */
    suspend fun stop() {
        entries.values.forEach { it.stop() }
        targets.values.forEach { it.stop() }
    }

    private suspend fun startTargets(service: Service): Service =
        service.copy(targets = service.targets.map { startTarget(it, behaviourOf(service.name, it)) })

    private fun updateVmList() {
        platform.vms =
            entries.values.map { daemon ->
                val self = daemon.entryVm.members.self
                PlatformVm(self.name, self.dataCentre, self.peerAddress)
            }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val STREAM = "lab"
        val READY_CHECK_INTERVAL = 50.milliseconds
    }
}
