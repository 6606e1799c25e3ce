package dev.goldcrestquay.standins.upgrade

import dev.goldcrestquay.standins.platform.CONTROL_PORT_OFFSET
import dev.goldcrestquay.standins.platform.DIRECTORY_PORT_OFFSET
import dev.goldcrestquay.standins.platform.DeploymentDocuments
import dev.goldcrestquay.standins.platform.EntryVmAddress
import dev.goldcrestquay.standins.platform.EntryVmProcess
import dev.goldcrestquay.standins.platform.EntryVmProgram
import dev.goldcrestquay.standins.platform.ResponseMode
import dev.goldcrestquay.standins.platform.StoreStandIn
import dev.goldcrestquay.standins.platform.TargetStandIn
import dev.goldcrestquay.standins.platform.findFreePorts
import dev.goldcrestquay.standins.platform.orderRollout
import dev.goldcrestquay.standins.platform.verdict
import dev.goldcrestquay.standins.platform.writePlan
import dev.goldcrestquay.standins.platform.writeTarget
import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import java.io.File
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A deployment on loopback: a store, targets in several versions, and entry VMs as processes in [directory]. */
internal class UpgradeDeployment(
    private val vertx: Vertx,
    private val record: UpgradeRecord,
    private val directory: File,
) : AutoCloseable {
    private class RegisteredTarget(
        val target: TargetStandIn,
        val version: String,
    ) {
        var sequence = 1
        var state = "ready"
    }

    private val store = StoreStandIn(vertx)
    private val targets = ConcurrentHashMap<String, RegisteredTarget>()
    private val firstPort = findFreePorts()
    private val processes = ConcurrentHashMap<String, EntryVmProcess>()
    private var planVersion = 0

    val client: WebClient = WebClient.create(vertx)

    /** The names of all entry VMs, whether they run or not. */
    val entryVms: List<String> = List(ENTRY_VM_COUNT) { "entry-$it" }

    /** When each target said that it leaves, by identifier. */
    val leavingSince = ConcurrentHashMap<String, Duration>()

    suspend fun start(
        program: EntryVmProgram,
        version: String,
    ) {
        store.start()
        writePlan(BASE_KINDS)
        addTargets(version)
        entryVms.forEach { startEntryVm(it, program) }
        withTimeout(READY_TIMEOUT) { processes.values.forEach { it.awaitReady(client) } }
    }

    /** Puts a plan with the routes of [kinds] in force. */
    fun writePlan(kinds: List<String>) {
        store.writePlan(DeploymentDocuments.plan(++planVersion, kinds = kinds))
        record.note("plan", mapOf("version" to planVersion.toString(), "kinds" to kinds.joinToString(",")))
    }

    suspend fun addTargets(version: String) {
        repeat(TARGETS_PER_VERSION) { number ->
            val id = "$version-$number"
            val target = TargetStandIn(vertx, id, EXECUTION_MILLISECONDS)
            target.responseMode = { received ->
                record.add(TargetRun(record.now, received.id, id, version))
                ResponseMode.ANSWER
            }
            target.start()
            targets[id] = RegisteredTarget(target, version)
        }
        writeHeartbeats()
    }

    /** Has the targets report themselves, as they do all the time; never returns. */
    suspend fun reportTargets() {
        while (true) {
            delay(HEARTBEAT_INTERVAL)
            writeHeartbeats()
        }
    }

    private fun writeHeartbeats() {
        targets.forEach { (id, registered) ->
            val sequence = registered.sequence++
            store.writeTarget(id, registered.target.heartbeat(SERVICE, registered.version, registered.state, sequence = sequence))
        }
    }

    /** Has one target of [version] say that it leaves; it goes on serving. */
    fun letOneLeave(version: String) {
        val (id, registered) = targets.entries.first { it.value.version == version && it.value.state == "ready" }
        registered.state = "draining"
        writeHeartbeats()
        leavingSince[id] = record.now
        record.note("target leaves", mapOf("target" to id))
    }

    /** Removes the records of all targets of [version]; they go on serving. */
    fun retire(version: String) {
        targets.entries.filter { it.value.version == version }.forEach { (id, _) ->
            targets.remove(id)
            store.writeTarget(id, null)
            leavingSince.putIfAbsent(id, record.now)
        }
        record.note("version retired", mapOf("version" to version))
    }

    fun orderRollout(
        version: String,
        duration: Duration,
    ) {
        store.orderRollout(SERVICE, version, duration)
        record.note("rollout", mapOf("version" to version))
    }

    /** The state in the newest verdict on the rollout of [version], or null when there is none. */
    fun verdict(version: String): String? = store.verdict(SERVICE, version)

    /** Replaces the process of [entryVm] by one of [program]; returns whether the old one ended within its grace period. */
    suspend fun replace(
        entryVm: String,
        program: EntryVmProgram,
    ): Boolean {
        record.note("stop", mapOf("entry_vm" to entryVm))
        val hasEnded = processes.getValue(entryVm).stop(GRACE)
        record.note("start", mapOf("entry_vm" to entryVm, "program" to program.directory.path))
        startEntryVm(entryVm, program)
        withTimeout(READY_TIMEOUT) { processes.getValue(entryVm).awaitReady(client) }
        record.note("ready", mapOf("entry_vm" to entryVm))
        return hasEnded
    }

    private fun startEntryVm(
        entryVm: String,
        program: EntryVmProgram,
    ) {
        val address = EntryVmAddress("127.75.0.${entryVms.indexOf(entryVm) + 1}", firstPort)
        val seeds = List(SEED_COUNT) { "127.75.0.${it + 1}:${firstPort + CONTROL_PORT_OFFSET}" }
        val settings = File(directory, "$entryVm.json")
        settings.writeText(DeploymentDocuments.settings(entryVm, firstPort, store.port, seeds, address.host))
        processes[entryVm] = EntryVmProcess(program, address, settings, File(directory, "$entryVm.log"))
    }

    fun address(entryVm: String): EntryVmAddress = EntryVmAddress("127.75.0.${entryVms.indexOf(entryVm) + 1}", firstPort)

    /** The port on which entry VMs tell callers where to connect. */
    val directoryPort: Int get() = firstPort + DIRECTORY_PORT_OFFSET

    /** The lines that entry VMs wrote about messages that they could not read, or about errors that they did not expect. */
    fun complaints(): List<String> =
        entryVms.flatMap { entryVm ->
            File(directory, "$entryVm.log")
                .readLines()
                .filter { line -> COMPLAINTS.any { it in line } }
                .map { "$entryVm: ${it.take(SHOWN_CHARACTERS)}" }
        }

    override fun close() = processes.values.forEach { it.close() }

    companion object {
        val BASE_KINDS = listOf("safe", "unsafe", "upload")

        /** The grace period of the settings that [DeploymentDocuments] makes. */
        val GRACE = 6.seconds

        private const val SERVICE = "shop"
        private const val ENTRY_VM_COUNT = 4
        private const val SEED_COUNT = 3
        private const val TARGETS_PER_VERSION = 6
        private const val EXECUTION_MILLISECONDS = 40L
        private const val SHOWN_CHARACTERS = 300
        private val HEARTBEAT_INTERVAL = 1500.milliseconds
        private val READY_TIMEOUT = 30.seconds
        private val COMPLAINTS = listOf("unreadable", "unexpected error", "Exception")
    }
}
