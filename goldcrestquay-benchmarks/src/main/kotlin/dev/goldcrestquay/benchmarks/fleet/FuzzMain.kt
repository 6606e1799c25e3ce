package dev.goldcrestquay.benchmarks.fleet

import io.kotest.property.PropTestConfig
import io.kotest.property.checkAll
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking

/** Runs [histories] random histories of a fleet; throws at the first that violates a property of the shared state. */
fun fuzzState(
    seed: Long,
    histories: Int,
): Unit = runBlocking { checkAll(PropTestConfig(seed, iterations = histories), fleetHistories) { runFleetHistory(it, seed) } }

/** Runs [histories] random histories of calls; throws at the first that violates a property of calls. */
fun fuzzCalls(
    seed: Long,
    histories: Int,
): Unit = runBlocking { checkAll(PropTestConfig(seed, iterations = histories), callHistories) { runCallHistory(it, seed) } }

/** Fuzzes calls or the shared state: `fuzz --seed S --histories N [--kind state|calls]`. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("fuzz")
    val seed by parser.option(ArgType.Int, "seed", "s", "The seed of the random histories").default(1)
    val histories by parser.option(ArgType.Int, "histories", "n", "The number of histories to run").default(1000)
    val kind by parser.option(ArgType.Choice(listOf("state", "calls"), { it }), "kind", "k", "What to fuzz").default("calls")
    parser.parse(arguments)
    if (kind == "state") fuzzState(seed.toLong(), histories) else fuzzCalls(seed.toLong(), histories)
    println("$histories histories of $kind passed, seed $seed")
}
