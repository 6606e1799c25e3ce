package dev.goldcrestquay.standins.platform

import io.vertx.core.VertxException
import io.vertx.ext.web.client.WebClient
import kotlinx.coroutines.delay
import java.io.File
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Where an entry VM listens: on consecutive ports of [host] from [firstPort] on. */
internal data class EntryVmAddress(
    val host: String,
    val firstPort: Int,
)

/** The program of an entry VM: the [command] that starts it in [directory]. */
internal data class EntryVmProgram(
    val command: List<String>,
    val directory: File,
) {
    companion object {
        /** The program that the deployment's build script has built in [directory]. */
        fun builtIn(directory: File) =
            EntryVmProgram(
                listOf(
                    "java",
                    "@deploy/entry.args",
                    "-XX:SharedArchiveFile=target/entry.jsa",
                    "-Xshare:auto",
                    "@target/entry.args",
                    MAIN_CLASS,
                ),
                directory,
            )

        const val MAIN_CLASS = "dev.goldcrestquay.platform.MainKt"
    }
}

/** An entry VM as a process of its own, started at once with [settings]; its output is appended to [log]. */
internal class EntryVmProcess(
    program: EntryVmProgram,
    val address: EntryVmAddress,
    settings: File,
    val log: File,
) : AutoCloseable {
    private val process: Process =
        ProcessBuilder(program.command)
            .directory(program.directory)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .apply { environment()["GOLDCRESTQUAY_SETTINGS"] = settings.absolutePath }
            .start()

    val isAlive: Boolean get() = process.isAlive

    /** The largest memory that the process has had in use, in kibibytes. */
    val peakMemoryKibibytes: Int
        get() =
            File("/proc/${process.pid()}/status")
                .readLines()
                .first { it.startsWith("VmHWM:") }
                .filter { it.isDigit() }
                .toInt()

    /** What the process's open descriptors refer to, such as `socket:[1234]`; one that closes meanwhile is left out. */
    val openDescriptors: List<String>
        get() =
            File("/proc/${process.pid()}/fd").listFiles().orEmpty().mapNotNull { descriptor ->
                try {
                    Files.readSymbolicLink(descriptor.toPath()).toString()
                } catch (_: NoSuchFileException) {
                    null
                }
            }

    /** Waits until the readiness check passes; throws [IllegalStateException] when the process ends first. */
    suspend fun awaitReady(client: WebClient) {
        while (!answersReady(client)) {
            check(isAlive) { "the entry VM ended: ${log.readText().takeLast(SHOWN_LOG_CHARACTERS)}" }
            delay(POLL_INTERVAL)
        }
    }

    private suspend fun answersReady(client: WebClient): Boolean =
        try {
            isReady(client, address.firstPort + READY_PORT_OFFSET, address.host)
        } catch (_: VertxException) {
            false
        }

    /** Sends SIGTERM and waits for the end of the process; returns false, and kills it, when it takes longer than [grace]. */
    suspend fun stop(grace: Duration): Boolean {
        process.destroy()
        val endsBy = System.nanoTime() + grace.inWholeNanoseconds
        while (isAlive && System.nanoTime() < endsBy) delay(POLL_INTERVAL)
        val hasEnded = !isAlive
        close()
        return hasEnded
    }

    /** Kills the process if it runs. */
    override fun close() {
        process.destroyForcibly().waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        val POLL_INTERVAL = 20.milliseconds
        const val KILL_TIMEOUT_SECONDS = 5L
        const val SHOWN_LOG_CHARACTERS = 2_000
    }
}
