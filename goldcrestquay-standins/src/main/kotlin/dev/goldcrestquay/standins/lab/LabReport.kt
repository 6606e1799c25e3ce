package dev.goldcrestquay.standins.lab

import dev.goldcrestquay.contract.JsonDocument
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import java.io.File

/**
 * The calls of one service in one span of an experiment.
 *
 * @property span the whole experiment (`all`) or the time after an event until the next one.
 * @property calls the number of calls that were due in the span.
 * @property answered the number of calls with a complete answer.
 * @property refused the number of calls refused as not run.
 * @property p50 the median latency of answered calls, in milliseconds.
 * @property p99 their 99th percentile, in milliseconds.
 * @property p999 their 99.9th percentile, in milliseconds.
 */
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

/** The result of one experiment, as written to `report.json`. */
@Serializable
data class LabResult(
    val experiment: String,
    val seed: Long,
    val verdicts: List<PromiseVerdict>,
    val latencies: List<LatencyLine>,
)

/** Summarises calls: for each service, one line for the whole experiment and one for each span between two events that has calls. */
fun latencyLines(
    records: List<CallRecord>,
    occurredEvents: List<OccurredEvent>,
): List<LatencyLine> {
    val eventSpans =
        occurredEvents.map {
            it.at.inWholeMilliseconds to
                "${it.event.kind.name.lowercase()} ${it.event.subject.orEmpty()}".trim()
        }
    val spans = listOf(0L to "start") + eventSpans
    return records.groupBy { it.service }.flatMap { (service, serviceRecords) ->
        val totalLine = latencyLine(service, "all", serviceRecords)
        val spanLines =
            spans.mapIndexed { index, (from, label) ->
                val until = spans.getOrNull(index + 1)?.first ?: Long.MAX_VALUE
                latencyLine(service, "after $label", serviceRecords.filter { it.scheduledMilliseconds in from until until })
            }
        listOf(totalLine) + spanLines.filter { it.calls > 0 }
    }
}

private infix fun Long.until(end: Long): LongRange = this..(end - 1)

private fun latencyLine(
    service: String,
    span: String,
    records: List<CallRecord>,
): LatencyLine {
    val histogram = Histogram(HIGHEST_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    val answered = records.filter { it.view == CallerView.ANSWERED }
    answered.forEach { histogram.recordValue(it.latencyMicroseconds.coerceIn(1, HIGHEST_LATENCY_MICROSECONDS)) }
    return LatencyLine(
        service = service,
        span = span,
        calls = records.size,
        answered = answered.size,
        refused = records.count { it.view == CallerView.NOT_RUN },
        p50 = histogram.percentileMilliseconds(50.0),
        p99 = histogram.percentileMilliseconds(99.0),
        p999 = histogram.percentileMilliseconds(99.9),
    )
}

private fun Histogram.percentileMilliseconds(percentile: Double): Double = getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND

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

/** Writes `report.json` and `report.html` to [folder]; the HTML page has a plot of the latency of each service over time. */
fun LabResult.write(
    folder: File,
    records: List<CallRecord>,
    occurredEvents: List<OccurredEvent>,
) {
    folder.mkdirs()
    File(folder, "report.json").writeText(JsonDocument.write(this, LabResult.serializer()))
    File(folder, "report.html").writeText(html(records, occurredEvents))
}

private fun LabResult.html(
    records: List<CallRecord>,
    occurredEvents: List<OccurredEvent>,
): String {
    val verdictRows =
        verdicts.joinToString("") {
            "<tr><td>${if (it.kept) "kept" else "BROKEN"}</td><td>${it.promise}</td><td>${it.detail}</td></tr>"
        }
    val latencyRows =
        latencies.joinToString("") {
            "<tr><td>${it.service}</td><td>${it.span}</td><td>${it.calls}</td><td>${it.refused}</td><td>${it.p50}</td><td>${it.p99}</td></tr>"
        }
    val plots =
        records.groupBy { it.service }.entries.joinToString("") { (service, serviceRecords) ->
            "<h2>$service</h2>" + plot(serviceRecords, occurredEvents)
        }
    return "<!doctype html><meta charset=utf-8><title>$experiment</title><h1>$experiment, seed $seed</h1>" +
        "<table>$verdictRows</table><table><tr><th>service<th>span<th>calls<th>refused<th>p50 ms<th>p99 ms</tr>$latencyRows</table>$plots"
}

/** An SVG plot of the median and the 99th percentile of the latency in each second, with a vertical line at each event. */
private fun plot(
    records: List<CallRecord>,
    occurredEvents: List<OccurredEvent>,
): String {
    val recordsBySecond = records.groupBy { it.scheduledMilliseconds / MILLISECONDS_PER_SECOND }.toSortedMap()
    val linesBySecond = recordsBySecond.mapValues { (second, secondRecords) -> latencyLine("", "$second", secondRecords) }
    val highestMilliseconds = linesBySecond.values.maxOf { it.p99 }.coerceAtLeast(1.0)
    val plotSeconds = (recordsBySecond.lastKey() + 1).toDouble()
    val polylinePoints = { value: (LatencyLine) -> Double ->
        linesBySecond.entries.joinToString(" ") { (second, line) ->
            "%.1f,%.1f".format(
                second / plotSeconds * PLOT_WIDTH,
                PLOT_HEIGHT * (1 - value(line) / highestMilliseconds),
            )
        }
    }
    val eventMarks =
        occurredEvents.joinToString("") {
            val x = it.at.inWholeMilliseconds / MILLISECONDS_PER_SECOND / plotSeconds * PLOT_WIDTH
            "<line x1=$x x2=$x y1=0 y2=$PLOT_HEIGHT stroke=#999 stroke-dasharray=3 /><text x=$x y=12 font-size=10>${it.event.kind.name.lowercase()}</text>"
        }
    return "<svg width=$PLOT_WIDTH height=$PLOT_HEIGHT style='border:1px solid #ccc'>$eventMarks" +
        "<polyline fill=none stroke=#06c points='${polylinePoints {
            it.p50
        }}'/><polyline fill=none stroke=#c30 points='${polylinePoints { it.p99 }}'/></svg>" +
        "<p>p50 blue, p99 red, full height %.1f ms, %d s wide</p>".format(highestMilliseconds, plotSeconds.toInt())
}

private const val HIGHEST_LATENCY_MICROSECONDS = 60_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val MICROSECONDS_PER_MILLISECOND = 1000.0
private const val MILLISECONDS_PER_SECOND = 1000L
private const val PLOT_WIDTH = 900
private const val PLOT_HEIGHT = 240
