package dev.goldcrestquay.standins.lab

import com.github.michaelbull.result.getOrElse
import dev.goldcrestquay.contract.Environment
import dev.goldcrestquay.contract.Problem
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.readEnvironment
import io.vertx.core.Vertx
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds

private const val EXIT_PROMISE_BROKEN = 1
private const val EXIT_BAD_INPUT = 2

/** Runs an experiment: `goldcrestquay-lab FILE [--report FOLDER] [--seed N]`. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("goldcrestquay-lab")
    val path by parser.argument(ArgType.String, description = "The JSON experiment file")
    val folder by parser.option(ArgType.String, "report", "r", "The folder for report.json and report.html").default("reports")
    val seed by parser.option(ArgType.Int, "seed", "s", "The seed in place of the experiment's own")
    parser.parse(arguments)
    val file = File(path)
    val given = Experiment.read(readFile(file)).getOrElse { fail(it) }
    val experiment = seed?.let { given.copy(seed = it.toLong()) } ?: given
    val document = readEnvironment(readFile(File(file.absoluteFile.parentFile, experiment.deployment))).getOrElse { fail(it) }
    val kept = runBlocking { run(experiment, document, File(folder)) }
    exitProcess(if (kept) 0 else EXIT_PROMISE_BROKEN)
}

private suspend fun run(
    experiment: Experiment,
    document: Environment,
    folder: File,
): Boolean {
    val vertx = Vertx.vertx()
    val deployment = Deployment(vertx, experiment, document)
    deployment.start()
    println("started ${deployment.targets.size} targets and ${deployment.entries.size} entry VMs")
    val dataCentres = document.regions.flatMap { it.dataCentres }.map { it.name }
    val callers = Callers(vertx, deployment, dataCentres, experiment.seed)
    val loadStartedAt = System.currentTimeMillis()
    val timeline = Timeline(experiment, deployment) { callers.elapsed }
    coroutineScope {
        val progress = launch { reportProgress(callers) }
        coroutineScope {
            launch { timeline.run() }
            experiment.loads.forEach { load -> launch { callers.run(load, experiment.durationSeconds.seconds) } }
        }
        progress.cancel()
    }
    val state =
        deployment.entries.values
            .map { it.entryVm.environments.state }
            .maxBy { it.offset }
    val records = callers.records.toList()
    val verdicts = Verdicts(records, deployment.runs.toList(), timeline.happened, state, loadStartedAt).all()
    val result = LabResult(experiment.name, experiment.seed, verdicts, latencyLines(records, timeline.happened))
    result.print()
    result.write(folder, records, timeline.happened)
    return verdicts.all { it.kept }
}

private suspend fun reportProgress(callers: Callers) {
    while (true) {
        delay(PROGRESS_PERIOD)
        println("%3d s: %d calls ended".format(callers.elapsed.inWholeSeconds, callers.records.size))
    }
}

private fun readFile(file: File): String =
    try {
        file.readText()
    } catch (exception: IOException) {
        fail(listOf(Problem(ResultCode.UNREADABLE_FILE, file.path, exception.message.orEmpty())))
    }

private fun fail(problems: List<Problem>): Nothing {
    problems.forEach(System.err::println)
    exitProcess(EXIT_BAD_INPUT)
}

private val PROGRESS_PERIOD = 5.seconds
