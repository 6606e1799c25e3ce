package dev.goldcrestquay.standins.lab

import dev.goldcrestquay.contract.JsonDocument
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import java.io.File

/** The latencies of one service in one span of an experiment, in milliseconds. */
@Serializable
data class LatencyLine(
    val service: String,
    val span: String,
    val calls: Int,
    val answered: Int,
    val refused: Int,
    val p50: Double,
    val p99: Double,
    val p999: Double,
)

/** The result of one experiment. */
@Serializable
data class LabResult(
    val experiment: String,
    val seed: Long,
    val verdicts: List<PromiseVerdict>,
    val latencies: List<LatencyLine>,
)

/** Sums up calls as lines of a table, one for each service and each span between two events. */
fun latencyLines(
    records: List<CallRecord>,
    happened: List<Happened>,
): List<LatencyLine> {
    val cuts = happened.map { it.at.inWholeMilliseconds to "${it.event.kind.name.lowercase()} ${it.event.subject.orEmpty()}".trim() }
    val spans = listOf(0L to "start") + cuts
    return records.groupBy { it.service }.flatMap { (service, ofService) ->
        val wholeLine = latencyLine(service, "all", ofService)
        val lines =
            spans.mapIndexed { index, (from, label) ->
                val until = spans.getOrNull(index + 1)?.first ?: Long.MAX_VALUE
                latencyLine(service, "after $label", ofService.filter { it.scheduledMilliseconds in from until until })
            }
        listOf(wholeLine) + lines.filter { it.calls > 0 }
    }
}

private infix fun Long.until(end: Long): LongRange = this..(end - 1)

private fun latencyLine(
    service: String,
    span: String,
    records: List<CallRecord>,
): LatencyLine {
    val histogram = Histogram(HIGHEST_MICROSECONDS, DIGITS)
    val answered = records.filter { it.view == CallerView.ANSWERED }
    answered.forEach { histogram.recordValue(it.latencyMicroseconds.coerceIn(1, HIGHEST_MICROSECONDS)) }
    return LatencyLine(
        service = service,
        span = span,
        calls = records.size,
        answered = answered.size,
        refused = records.count { it.view == CallerView.NOT_RUN },
        p50 = histogram.milliseconds(50.0),
        p99 = histogram.milliseconds(99.0),
        p999 = histogram.milliseconds(99.9),
    )
}

private fun Histogram.milliseconds(percentile: Double): Double = getValueAtPercentile(percentile) / MICROSECONDS

/** Prints the result as tables. */
fun LabResult.print() {
    println("experiment $experiment, seed $seed")
    println()
    verdicts.forEach { println("%-7s %-48s %s".format(if (it.kept) "kept" else "BROKEN", it.promise, it.detail)) }
    println()
    println("%-14s %-40s %8s %8s %8s %8s %8s %8s".format("service", "span", "calls", "answered", "refused", "p50 ms", "p99 ms", "p99.9 ms"))
    latencies.forEach {
        println(
            "%-14s %-40s %8d %8d %8d %8.1f %8.1f %8.1f".format(
                it.service,
                it.span,
                it.calls,
                it.answered,
                it.refused,
                it.p50,
                it.p99,
                it.p999,
            ),
        )
    }
}

/** Writes the result as JSON and as an HTML page with a plot of each service's latency over time. */
fun LabResult.write(
    folder: File,
    records: List<CallRecord>,
    happened: List<Happened>,
) {
    folder.mkdirs()
    File(folder, "report.json").writeText(JsonDocument.write(this, LabResult.serializer()))
    File(folder, "report.html").writeText(html(records, happened))
}

private fun LabResult.html(
    records: List<CallRecord>,
    happened: List<Happened>,
): String {
    val verdictRows =
        verdicts.joinToString("") {
            "<tr><td>${if (it.kept) "kept" else "BROKEN"}</td><td>${it.promise}</td><td>${it.detail}</td></tr>"
        }
    val latencyRows =
        latencies.joinToString("") {
            "<tr><td>${it.service}</td><td>${it.span}</td><td>${it.calls}</td><td>${it.refused}</td><td>${it.p50}</td><td>${it.p99}</td></tr>"
        }
    val plots = records.groupBy { it.service }.entries.joinToString("") { (service, list) -> "<h2>$service</h2>" + plot(list, happened) }
    return "<!doctype html><meta charset=utf-8><title>$experiment</title><h1>$experiment, seed $seed</h1>" +
        "<table>$verdictRows</table><table><tr><th>service<th>span<th>calls<th>refused<th>p50 ms<th>p99 ms</tr>$latencyRows</table>$plots"
}

/** A plot of the median and the 99th percentile of each second, with a line at each event. */
private fun plot(
    records: List<CallRecord>,
    happened: List<Happened>,
): String {
    val seconds = records.groupBy { it.scheduledMilliseconds / MILLISECONDS }.toSortedMap()
    val lines = seconds.mapValues { (second, list) -> latencyLine("", "$second", list) }
    val highest = lines.values.maxOf { it.p99 }.coerceAtLeast(1.0)
    val last = (seconds.lastKey() + 1).toDouble()
    val points = { value: (LatencyLine) -> Double ->
        lines.entries.joinToString(" ") { (second, line) ->
            "%.1f,%.1f".format(
                second / last * PLOT_WIDTH,
                PLOT_HEIGHT * (1 - value(line) / highest),
            )
        }
    }
    val events =
        happened.joinToString("") {
            val x = it.at.inWholeMilliseconds / MILLISECONDS / last * PLOT_WIDTH
            "<line x1=$x x2=$x y1=0 y2=$PLOT_HEIGHT stroke=#999 stroke-dasharray=3 /><text x=$x y=12 font-size=10>${it.event.kind.name.lowercase()}</text>"
        }
    return "<svg width=$PLOT_WIDTH height=$PLOT_HEIGHT style='border:1px solid #ccc'>$events" +
        "<polyline fill=none stroke=#06c points='${points {
            it.p50
        }}'/><polyline fill=none stroke=#c30 points='${points { it.p99 }}'/></svg>" +
        "<p>p50 blue, p99 red, full height %.1f ms, %d s wide</p>".format(highest, last.toInt())
}

private const val HIGHEST_MICROSECONDS = 60_000_000L
private const val DIGITS = 3
private const val MICROSECONDS = 1000.0
private const val MILLISECONDS = 1000L
private const val PLOT_WIDTH = 900
private const val PLOT_HEIGHT = 240
