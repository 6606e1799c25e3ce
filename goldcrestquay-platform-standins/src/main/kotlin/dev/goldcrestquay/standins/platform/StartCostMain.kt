package dev.goldcrestquay.standins.platform

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The environment variable with the path of the settings file. */
private const val SETTINGS_VARIABLE = "GOLDCRESTQUAY_SETTINGS"

private const val DEFAULT_RUNS = 5
private const val TARGET_COUNT = 6
private const val REQUEST_COUNT = 100
private val READY_TIMEOUT = 30.seconds
private val READY_POLL_INTERVAL = 20.milliseconds

/** The pause between two requests, about that of a small machine under usual load. */
private val REQUEST_INTERVAL = 20.milliseconds
private val IDLE_TIME = 10.seconds

private val CALL_TIMEOUT = 3.seconds

/** A part of a process's life whose processor time is measured. */
private enum class StartPhase(
    val label: String,
) {
    START("until ready"),
    FIRST_REQUESTS("first $REQUEST_COUNT requests"),
    IDLE("10 s idle"),
}

/**
 * Measures the processor time that one entry VM's program takes to start, by the kind of thread, and prints it as a table.
 *
 * The arguments are the command that starts the program, which gets its settings by [SETTINGS_VARIABLE]; the number of runs may precede
 * it. Reads the threads' times from the proc file system, so it runs on Linux only.
 */
fun main(arguments: Array<String>) {
    val runs = arguments.firstOrNull()?.toIntOrNull()
    val command = arguments.drop(if (runs == null) 0 else 1)
    require(command.isNotEmpty()) { "usage: [RUNS] COMMAND..." }
    val vertx = Vertx.vertx()
    runBlocking {
        val store = StoreStandIn(vertx)
        store.start()
        store.writePlan(DeploymentDocuments.plan(version = 1))
        repeat(TARGET_COUNT) { index ->
            val target = TargetStandIn(vertx, "i-$index")
            target.start()
            store.writeTarget(target.id, target.heartbeat("shop"))
        }
        val measured = List(runs ?: DEFAULT_RUNS) { measure(WebClient.create(vertx), store.port, command) }
        printTable(measured)
    }
    exitProcess(0)
}

private suspend fun measure(
    client: WebClient,
    storePort: Int,
    command: List<String>,
): Map<StartPhase, Map<String, Duration>> {
    val firstPort = findFreePorts()
    val settings = File.createTempFile("start-cost", ".json").apply { deleteOnExit() }
    settings.writeText(DeploymentDocuments.settings("start-cost", firstPort, storePort))
    val builder = ProcessBuilder(command).redirectOutput(ProcessBuilder.Redirect.DISCARD).redirectError(ProcessBuilder.Redirect.INHERIT)
    builder.environment()[SETTINGS_VARIABLE] = settings.path
    val process = builder.start()
    try {
        withTimeout(READY_TIMEOUT) { while (!isReady(client, firstPort + READY_PORT_OFFSET)) delay(READY_POLL_INTERVAL) }
        val times = ThreadTimes(process.pid())
        val ready = times.byGroup()
        repeat(REQUEST_COUNT) {
            send(client, firstPort, it)
            delay(REQUEST_INTERVAL)
        }
        val served = times.byGroup()
        delay(IDLE_TIME)
        val idle = times.byGroup()
        return mapOf(StartPhase.START to ready, StartPhase.FIRST_REQUESTS to served - ready, StartPhase.IDLE to idle - served)
    } finally {
        process.destroyForcibly().waitFor()
    }
}

private suspend fun send(
    client: WebClient,
    port: Int,
    number: Int,
) {
    val isSafe = number % 2 == 0
    val request = if (isSafe) client.get(port, "127.0.0.1", "/safe/x") else client.post(port, "127.0.0.1", "/unsafe/x")
    request
        .putCallerHeaders("start-cost-$number", CALL_TIMEOUT)
        .sendBuffer(Buffer.buffer(if (isSafe) "" else "order"))
        .coAwait()
}

private operator fun Map<String, Duration>.minus(earlier: Map<String, Duration>): Map<String, Duration> =
    mapValues { (group, time) -> time - (earlier[group] ?: Duration.ZERO) }

/** The processor time of the threads of the process [pid]; one that has ended keeps the time last read. */
private class ThreadTimes(
    private val pid: Long,
) {
    private val groups = HashMap<String, String>()
    private val times = HashMap<String, Duration>()

    /** The processor time since the start of the process, by [threadGroup]. */
    fun byGroup(): Map<String, Duration> {
        File("/proc/$pid/task").listFiles().orEmpty().forEach { read(it) }
        return times.entries
            .groupBy({ groups.getValue(it.key) }, { it.value })
            .mapValues { (_, times) -> times.fold(Duration.ZERO, Duration::plus) }
    }

    private fun read(task: File) {
        try {
            val nanoseconds = File(task, "schedstat").readText().substringBefore(' ')
            groups[task.name] = threadGroup(File(task, "comm").readText().trim())
            times[task.name] = nanoseconds.toLong().nanoseconds
        } catch (_: IOException) {
            // The thread has just ended.
        }
    }
}

/** What a thread does, by its name, of which the system keeps fifteen characters. */
private fun threadGroup(name: String): String =
    when {
        "Compiler" in name -> "compilation"
        name.startsWith("vert.x-eventl") -> "event loop"
        name.startsWith("GC ") || name == "VM Thread" -> "virtual machine and collection"
        name == "java" -> "main thread"
        else -> "other threads"
    }

private fun printTable(runs: List<Map<StartPhase, Map<String, Duration>>>) {
    val groups = runs.flatMap { run -> run.values.flatMap { it.keys } }.distinct().sorted()
    println("processor time in ms, mean of ${runs.size} runs")
    println("| threads | ${StartPhase.entries.joinToString(" | ") { it.label }} |")
    println("|---|${"---|".repeat(StartPhase.entries.size)}")
    for (group in groups) {
        val cells = StartPhase.entries.map { phase -> runs.map { it.getValue(phase)[group] ?: Duration.ZERO }.meanMilliseconds() }
        println("| $group | ${cells.joinToString(" | ")} |")
    }
    val sums =
        StartPhase.entries.map { phase ->
            runs.map { run -> run.getValue(phase).values.fold(Duration.ZERO, Duration::plus) }.meanMilliseconds()
        }
    println("| all | ${sums.joinToString(" | ")} |")
}

private fun List<Duration>.meanMilliseconds(): String = "%.0f".format(sumOf { it.toDouble(DurationUnit.MILLISECONDS) } / size)
