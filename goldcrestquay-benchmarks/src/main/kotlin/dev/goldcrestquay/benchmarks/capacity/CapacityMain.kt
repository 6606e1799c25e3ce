package dev.goldcrestquay.benchmarks.capacity

import dev.goldcrestquay.contract.Environment
import dev.goldcrestquay.contract.JsonDocument
import dev.goldcrestquay.contract.environment
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import java.io.File

/**
 * One measured point.
 *
 * @property slope what is measured, and against which size.
 * @property size the size at which it was measured, such as a number of entry VMs, targets or services.
 * @property unit the unit of [value].
 */
@Serializable
data class CapacityPoint(
    val slope: String,
    val size: Int,
    val value: Double,
    val unit: String,
)

/** Measures every slope of docs/CAPACITY.md: `capacity [--seed S] [--report FOLDER]`. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("capacity")
    val seed by parser.option(ArgType.Int, "seed", "s", "The seed of the simulated fleets").default(1)
    val folder by parser.option(ArgType.String, "report", "r", "The folder to write the report to").default("reports/capacity")
    parser.parse(arguments)
    val points = controlPoints(seed.toLong()) + choicePoints() + platformChoicePoints() + placementPoints() + memoryPoints()
    points.groupBy { it.slope }.forEach { (_, line) -> printSlope(line) }
    val reportFolder = File(folder).apply { mkdirs() }
    File(reportFolder, "report.json").writeText(JsonDocument.write(points, ListSerializer(CapacityPoint.serializer())))
    File(reportFolder, "report.html").writeText(capacityHtml(points))
    println("written to $folder")
}

/** Prints all points of one slope and the slope of their least-squares line. */
private fun printSlope(line: List<CapacityPoint>) {
    val fittedSlope = line.slopePerUnit()
    val values = line.joinToString { "%d: %.4g".format(it.size, it.value) }
    println("%-52s %s %s; slope %.4g".format(line.first().slope, values, line.first().unit, fittedSlope))
}

/** The least-squares slope of the values over the sizes; 0 if all sizes are equal. */
internal fun List<CapacityPoint>.slopePerUnit(): Double {
    val meanSize = map { it.size.toDouble() }.average()
    val meanValue = map { it.value }.average()
    val spread = sumOf { (it.size - meanSize) * (it.size - meanSize) }
    return if (spread == 0.0) 0.0 else sumOf { (it.size - meanSize) * (it.value - meanValue) } / spread
}

/** An environment with [services] services of [targetsEach] targets over [dataCentres] data centres. */
internal fun environmentOf(
    services: Int,
    targetsEach: Int,
    dataCentres: Int = DATA_CENTRE_COUNT,
): Environment =
    environment("capacity") {
        (0 until dataCentres).groupBy { it % REGION_COUNT }.forEach { (number, list) ->
            region("region-$number") { list.forEach { dataCentre("dc-$it") } }
        }
        repeat(services) { number ->
            service("service-$number") {
                callsPerSecond = FLEET_CALLS_PER_SECOND / services
                repeat(targetsEach) {
                    val index = number * targetsEach + it
                    target("t-$index", "10.${index / 65_536}.${index / 256 % 256}.${index % 256}:80", "dc-${index % dataCentres}")
                }
            }
        }
    }

/** The number of data centres of the measured fleets. */
internal const val DATA_CENTRE_COUNT = 13

/** The calls a second of all services together. */
internal const val FLEET_CALLS_PER_SECOND = 550_000
private const val REGION_COUNT = 5

private fun capacityHtml(points: List<CapacityPoint>): String {
    val plots =
        points.groupBy { it.slope }.entries.joinToString("") { (slope, line) ->
            "<h2>$slope (${line.first().unit})</h2>" + capacityPlot(line)
        }
    return "<!doctype html><meta charset=utf-8><title>capacity</title><h1>Capacity slopes</h1>$plots"
}

private fun capacityPlot(line: List<CapacityPoint>): String {
    val largest = line.maxOf { it.size }.toDouble()
    val highest = line.maxOf { it.value }.coerceAtLeast(Double.MIN_VALUE)
    val points = line.joinToString(" ") { "%.1f,%.1f".format(it.size / largest * PLOT_WIDTH, PLOT_HEIGHT * (1 - it.value / highest)) }
    val labels = line.joinToString(", ") { "%d: %.4g".format(it.size, it.value) }
    return "<svg width=$PLOT_WIDTH height=$PLOT_HEIGHT style='border:1px solid #ccc'>" +
        "<polyline fill=none stroke=#06c points='$points'/></svg><p>$labels</p>"
}

private const val PLOT_WIDTH = 600
private const val PLOT_HEIGHT = 160
