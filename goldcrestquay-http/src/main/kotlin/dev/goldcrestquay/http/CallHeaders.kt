package dev.goldcrestquay.http

import dev.goldcrestquay.link.LoadReport
import dev.goldcrestquay.link.Refusal

/** The names of the HTTP headers that entry VMs exchange with callers and targets. */
object CallHeaders {
    /** The number of the result code of a call that no target answered. */
    const val RESULT_CODE = "goldcrestquay-code"

    /** The identity of the entry VM that handled the request. */
    const val ENTRY = "goldcrestquay-entry"

    /** The identities of the entry VMs that earlier attempts of a retried call went to, separated by commas. */
    const val EARLIER_ENTRIES = "goldcrestquay-earlier-entries"

    /** The time left until the deadline of the call, in milliseconds. */
    const val DEADLINE = "goldcrestquay-deadline-milliseconds"

    /** The number of attempts that the receiver may still make. */
    const val ATTEMPTS = "goldcrestquay-attempts"

    /**
     * Why the sender of a response did not run the call: `draining`, `shedding` or `exhausted`; after the last, the receiver must not
     * retry. Without this header, the call may have run.
     */
    const val NOT_RUN = "goldcrestquay-not-run"

    /** In a request that one entry VM has another one serve, the terms of it; in the response, whether it is a target's answer. */
    const val RELAY = "goldcrestquay-relay"

    /** In the answer to a relayed request, the identifier of the target that gave it, if that target has said that it leaves. */
    const val RELAY_LEAVING = "goldcrestquay-relay-leaving"

    /** The key that identifies a non-idempotent call across its retries. */
    const val IDEMPOTENCY_KEY = "idempotency-key"

    /** The load report of a target, in the text format of Open Request Cost Aggregation (ORCA). */
    const val LOAD_REPORT = "endpoint-load-metrics"

    /** Headers that concern a single connection and are not forwarded. */
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

/** Formats and parses the headers with which a target reports its load or refuses a call. */
object TargetHeaders {
    private const val TEXT_FORMAT_PREFIX = "TEXT "
    private const val IN_FLIGHT_METRIC = "named_metrics.in_flight"
    private const val START_EPOCH_METRIC = "named_metrics.start_epoch"
    private const val UPTIME_METRIC = "named_metrics.uptime_ms"

    /** Formats [report] as the value of [CallHeaders.LOAD_REPORT]. */
    fun formatLoadReport(report: LoadReport): String =
        listOfNotNull(
            "$IN_FLIGHT_METRIC=${report.inFlight}",
            report.startEpoch?.let { "$START_EPOCH_METRIC=$it" },
            report.uptimeMilliseconds?.let { "$UPTIME_METRIC=$it" },
        ).joinToString(",", TEXT_FORMAT_PREFIX)

    /**
     * Parses a value of [CallHeaders.LOAD_REPORT].
     *
     * Returns null without a value, for another format, and when the number of calls in flight is missing or out of range.
     */
    fun parseLoadReport(header: String?): LoadReport? {
        if (header == null || !header.startsWith(TEXT_FORMAT_PREFIX)) return null
        val values =
            header
                .removePrefix(TEXT_FORMAT_PREFIX)
                .split(',')
                .associate { it.substringBefore('=').trim() to it.substringAfter('=', "").trim() }
        val inFlight = values[IN_FLIGHT_METRIC]?.toDoubleOrNull()?.takeIf { it in 0.0..MAXIMUM_IN_FLIGHT } ?: return null
        return LoadReport(inFlight.toInt(), values[START_EPOCH_METRIC]?.toLongOrNull(), values[UPTIME_METRIC]?.toLongOrNull())
    }

    /** Parses a value of [CallHeaders.NOT_RUN]; returns null without a value and for an unknown one. */
    fun parseRefusal(header: String?): Refusal? =
        when (header) {
            "draining" -> Refusal.DRAINING
            "shedding" -> Refusal.SHEDDING
            "exhausted" -> Refusal.EXHAUSTED
            else -> null
        }

    /** A report of more calls in flight is taken as malformed. */
    private const val MAXIMUM_IN_FLIGHT = 1e6
}
