package dev.goldcrestquay.standins.platform

import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import kotlinx.coroutines.delay
import java.io.File
import kotlin.time.Duration.Companion.milliseconds

/** The entry VM's program as a process of its own, with the flags of the deployment. Its output goes to [log]. */
internal class EntryVmProcess(
    vertx: Vertx,
    storePort: Int,
) : AutoCloseable {
    private val client = WebClient.create(vertx)
    val firstPort = findFreePorts()

    /** A loopback address of its own, since the port of the metrics is the same for all entry VMs. */
    val host = "127.74.${firstPort / ADDRESS_BASE}.${firstPort % ADDRESS_BASE}"
    val log: File = File.createTempFile("entry-vm", ".log")
    private val settings = File.createTempFile("entry-vm", ".json")
    private val process: Process

    init {
        settings.writeText(DeploymentDocuments.settings("entry", firstPort, storePort, host = host))
        val java = File(System.getProperty("java.home"), "bin/java").path
        val command = listOf(java, "@../deploy/entry.args", "-cp", System.getProperty("java.class.path"), MAIN_CLASS)
        val builder = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log)
        builder.environment()["GOLDCRESTQUAY_SETTINGS"] = settings.path
        process = builder.start()
    }

    val isAlive: Boolean get() = process.isAlive

    /** The largest memory that the process has had in use, in kibibytes. */
    val peakMemoryKibibytes: Int
        get() =
            File("/proc/${process.pid()}/status")
                .readLines()
                .first { it.startsWith("VmHWM:") }
                .filter { it.isDigit() }
                .toInt()

    suspend fun awaitReady() {
        while (!isReady(client, firstPort + READY_PORT_OFFSET, host)) {
            check(isAlive) { "the entry VM ended: ${log.readText()}" }
            delay(READY_POLL_INTERVAL)
        }
    }

    override fun close() {
        process.destroyForcibly().waitFor()
        log.delete()
        settings.delete()
    }

    private companion object {
        const val MAIN_CLASS = "dev.goldcrestquay.platform.MainKt"
        const val ADDRESS_BASE = 250
        val READY_POLL_INTERVAL = 50.milliseconds
    }
}
