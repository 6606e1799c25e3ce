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

/**
 * Runs an experiment: `goldcrestquay-lab FILE [--report FOLDER] [--seed N]`.
 *
 * Exits with 0 if all promises were kept, 1 if one was broken and 2 if the experiment or its environment has problems.
 */
fun main(arguments: Array<String>) {
    val parser = ArgParser("goldcrestquay-lab")
    val experimentPath by parser.argument(ArgType.String, description = "The JSON experiment file")
    val reportFolder by parser.option(ArgType.String, "report", "r", "The folder for report.json and report.html").default("reports")
    val seed by parser.option(ArgType.Int, "seed", "s", "The seed to use instead of the one in the experiment file")
    parser.parse(arguments)
    val experimentFile = File(experimentPath)
    val parsed = Experiment.read(readFile(experimentFile)).getOrElse { exitWithProblems(it) }
    val experiment = seed?.let { parsed.copy(seed = it.toLong()) } ?: parsed
    val environment =
        readEnvironment(readFile(File(experimentFile.absoluteFile.parentFile, experiment.deployment)))
            .getOrElse { exitWithProblems(it) }
    val allKept = runBlocking { runExperiment(experiment, environment, File(reportFolder)) }
    exitProcess(if (allKept) 0 else EXIT_PROMISE_BROKEN)
}

private suspend fun runExperiment(
    experiment: Experiment,
    environment: Environment,
    reportFolder: File,
): Boolean {
    val vertx = Vertx.vertx()
    val deployment = Deployment(vertx, experiment, environment)
    deployment.start()
    println("started ${deployment.targets.size} targets and ${deployment.entries.size} entry VMs")
    val dataCentres = environment.regions.flatMap { it.dataCentres }.map { it.name }
    val loadGenerator = LoadGenerator(vertx, deployment, dataCentres, experiment.seed)
    val loadStartedAtMilliseconds = System.currentTimeMillis()
    val timeline = Timeline(experiment, deployment) { loadGenerator.elapsed }
    coroutineScope {
        val progressJob = launch { printProgress(loadGenerator) }
        coroutineScope {
            launch { timeline.run() }
            experiment.loads.forEach { load -> launch { loadGenerator.run(load, experiment.durationSeconds.seconds) } }
        }
        progressJob.cancel()
    }
    val state =
        deployment.entries.values
            .map { it.entryVm.environments.state }
            .maxBy { it.offset }
    val records = loadGenerator.records.toList()
    val verdicts = PromiseChecker(records, deployment.runs.toList(), timeline.occurredEvents, state, loadStartedAtMilliseconds).checkAll()
    val result = LabResult(experiment.name, experiment.seed, verdicts, latencyLines(records, timeline.occurredEvents))
    result.print()
    result.write(reportFolder, records, timeline.occurredEvents)
    return verdicts.all { it.kept }
}

private suspend fun printProgress(loadGenerator: LoadGenerator) {
    while (true) {
        delay(PROGRESS_INTERVAL)
        println("%3d s: %d calls ended".format(loadGenerator.elapsed.inWholeSeconds, loadGenerator.records.size))
    }
}

private fun readFile(file: File): String =
    try {
        file.readText()
    } catch (exception: IOException) {
        exitWithProblems(listOf(Problem(ResultCode.UNREADABLE_FILE, file.path, exception.message.orEmpty())))
    }

private fun exitWithProblems(problems: List<Problem>): Nothing {
    problems.forEach(System.err::println)
    exitProcess(EXIT_BAD_INPUT)
}

private val PROGRESS_INTERVAL = 5.seconds
