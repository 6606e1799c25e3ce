package dev.goldcrestquay.benchmarks.fleet

import io.kotest.property.PropTestConfig
import io.kotest.property.checkAll
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking

/** Checks the properties of shared state over [histories] random histories. */
fun fuzzState(
    seed: Long,
    histories: Int,
): Unit = runBlocking { checkAll(PropTestConfig(seed, iterations = histories), fleetHistories) { runFleetHistory(it, seed) } }

/** Checks the properties of calls over [histories] random histories. */
fun fuzzCalls(
    seed: Long,
    histories: Int,
): Unit = runBlocking { checkAll(PropTestConfig(seed, iterations = histories), callHistories) { runCallHistory(it, seed) } }

/** Runs long fuzzing: `fuzz --seed S --histories N [--kind state|calls]`. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("fuzz")
    val seed by parser.option(ArgType.Int, "seed", "s", "The seed").default(1)
    val histories by parser.option(ArgType.Int, "histories", "n", "The histories to run").default(1000)
    val kind by parser.option(ArgType.Choice(listOf("state", "calls"), { it }), "kind", "k", "What to fuzz").default("calls")
    parser.parse(arguments)
    if (kind == "state") fuzzState(seed.toLong(), histories) else fuzzCalls(seed.toLong(), histories)
    println("$histories histories of $kind passed, seed $seed")
}
