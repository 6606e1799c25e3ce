package dev.goldcrestquay.standins.upgrade

import dev.goldcrestquay.standins.platform.EntryVmProgram
import io.vertx.core.Vertx
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.io.File
import kotlin.random.Random
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds

private const val HELD = 0
private const val BROKEN = 1
private const val COULD_NOT_RUN = 2
private val TIMEOUT = 170.seconds
private const val SHOWN_VIOLATIONS = 20

/**
 * Runs the [UpgradeCheck] with the builds in two directories: the arguments are the directory of the earlier build, that of the present
 * one, a directory for settings, logs and the record, and a seed.
 *
 * Exits with 1 when a promise was broken and with 2 when the check could not run.
 */
fun main(arguments: Array<String>) {
    if (arguments.size != 4) {
        System.err.println("usage: EARLIER_DIRECTORY PRESENT_DIRECTORY WORK_DIRECTORY SEED")
        exitProcess(COULD_NOT_RUN)
    }
    val (earlier, present, work, seed) = arguments
    val vertx = Vertx.vertx()
    val result =
        UpgradeRecord(File(work, "record.jsonl")).use { record ->
            UpgradeDeployment(vertx, record, File(work)).use { deployment ->
                try {
                    val violations =
                        runBlocking {
                            withTimeout(TIMEOUT) {
                                UpgradeCheck(deployment, record, Random(seed.toLong()))
                                    .run(EntryVmProgram.builtIn(File(earlier)), EntryVmProgram.builtIn(File(present)))
                            }
                        }
                    report(record, violations)
                    if (violations.isEmpty()) HELD else BROKEN
                } catch (exception: Exception) {
                    System.err.println("the check could not run: $exception")
                    COULD_NOT_RUN
                }
            }
        }
    exitProcess(result)
}

private fun report(
    record: UpgradeRecord,
    violations: List<String>,
) {
    println("| kind | requests | answered with 200 | refused with 503 | no answer, not run | other |")
    println("|---|---|---|---|---|---|")
    record.requests.groupBy { it.kind }.forEach { (kind, requests) ->
        val byStatus = requests.groupingBy { it.status }.eachCount()
        val other = byStatus.filterKeys { it !in setOf(200, 503, null) }.values.sum()
        println("| $kind | ${requests.size} | ${byStatus[200] ?: 0} | ${byStatus[503] ?: 0} | ${byStatus[null] ?: 0} | $other |")
    }
    println("violations: ${violations.size}")
    violations.take(SHOWN_VIOLATIONS).forEach { println("  $it") }
}
