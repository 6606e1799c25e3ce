package dev.goldcrestquay.http

import dev.goldcrestquay.link.LoadReport
import dev.goldcrestquay.link.Refusal

/** The headers that entry VMs, callers and targets exchange. */
object CallHeaders {
    /** The result code of a call that was not answered by a target. */
    const val RESULT_CODE = "goldcrestquay-code"

    /** The identity of the entry VM that handled the attempt. */
    const val ENTRY = "goldcrestquay-entry"

    /** The entry VMs of all attempts before a repeat, separated by commas. */
    const val EARLIER_ENTRIES = "goldcrestquay-earlier-entries"

    /** What is left of the deadline, in milliseconds. */
    const val DEADLINE = "goldcrestquay-deadline-milliseconds"

    /** The attempts that the next hop may still use. */
    const val ATTEMPTS = "goldcrestquay-attempts"

    /** A target's proof that it did not run the call: `draining`, `shedding` or `exhausted`. */
    const val NOT_RUN = "goldcrestquay-not-run"

    /** The key under which a non-idempotent call may be repeated. */
    const val IDEMPOTENCY_KEY = "idempotency-key"

    /** The load report of a target, in the text form of Open Request Cost Aggregation. */
    const val LOAD_REPORT = "endpoint-load-metrics"

    /** Headers that concern one connection and are not passed on. */
    val HOP_BY_HOP =
        setOf(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
        )
}

/** Reads and writes load reports and refusals as headers. */
object TargetHeaders {
    private const val PREFIX = "TEXT "
    private const val IN_FLIGHT = "named_metrics.in_flight"
    private const val START_EPOCH = "named_metrics.start_epoch"
    private const val UPTIME = "named_metrics.uptime_ms"

    /** The header value for [report]. */
    fun formatLoadReport(report: LoadReport): String =
        listOfNotNull(
            "$IN_FLIGHT=${report.inFlight}",
            report.startEpoch?.let { "$START_EPOCH=$it" },
            report.uptimeMilliseconds?.let { "$UPTIME=$it" },
        ).joinToString(",", PREFIX)

    /** The report in [header], or null when there is none that can be read. */
    fun parseLoadReport(header: String?): LoadReport? {
        if (header == null || !header.startsWith(PREFIX)) return null
        val values =
            header
                .removePrefix(PREFIX)
                .split(',')
                .associate { it.substringBefore('=').trim() to it.substringAfter('=', "").trim() }
        val inFlight = values[IN_FLIGHT]?.toDoubleOrNull()?.takeIf { it in 0.0..MAXIMUM_IN_FLIGHT } ?: return null
        return LoadReport(inFlight.toInt(), values[START_EPOCH]?.toLongOrNull(), values[UPTIME]?.toLongOrNull())
    }

    /** The refusal that the value of [CallHeaders.NOT_RUN] states, or null for an unknown one. */
    fun parseRefusal(header: String?): Refusal? =
        when (header) {
            "draining" -> Refusal.DRAINING
            "shedding" -> Refusal.SHEDDING
            "exhausted" -> Refusal.EXHAUSTED
            else -> null
        }

    private const val MAXIMUM_IN_FLIGHT = 1e6
}
