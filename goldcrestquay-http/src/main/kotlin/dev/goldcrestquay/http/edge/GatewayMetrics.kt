package dev.goldcrestquay.http.edge

import dev.goldcrestquay.http.text
import dev.goldcrestquay.machine.FleetEvent
import dev.goldcrestquay.routing.ForwardEvent
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlin.time.DurationUnit

/** The Prometheus metrics of one entry VM on the platform. */
class GatewayMetrics {
    private val registry = PrometheusRegistry()
    private val requests =
        counter("goldcrestquay_requests_total", "Requests by route, outcome and result code.", "route", "outcome", "code")
    private val sends = counter("goldcrestquay_sends_total", "Sends by service, version and attempt.", "service", "version", "attempt")
    private val sendResults = counter("goldcrestquay_send_results_total", "Ends of sends by service and result.", "service", "result")
    private val probes = counter("goldcrestquay_probes_total", "Load probes by service.", "service")
    private val requestLimitChanges =
        counter("goldcrestquay_request_limit_changes_total", "Request limits named, changed or lifted by targets, by service.", "service")
    private val relays =
        counter("goldcrestquay_relays_total", "Requests relayed, by direction (sent or received) and outcome.", "direction", "outcome")
    private val fleetEvents = counter("goldcrestquay_belief_changes_total", "Changes of what the entry VM believes, by kind.", "kind")
    private val turnedAway =
        counter("goldcrestquay_callers_turned_away_total", "Callers closed or refused to save memory, by reason.", "reason")
    private val latency =
        Histogram
            .builder()
            .name("goldcrestquay_request_seconds")
            .help("Time from a request's arrival to its outcome.")
            .labelNames("route")
            .register(registry)

    /** Counts a decision about a request, and observes its duration in seconds once it has ended. */
    fun observe(event: ForwardEvent) {
        when (event) {
            is ForwardEvent.Sent -> {
                sends.labelValues(event.target.service, event.target.version, event.attempt.toString()).inc()
                probes.labelValues(event.target.service).inc(event.probes.toLong())
            }
            is ForwardEvent.Refused -> probes.labelValues(event.target.service).inc(event.probes.toLong())
            is ForwardEvent.RequestLimitChanged -> requestLimitChanges.labelValues(event.target.service).inc()
            is ForwardEvent.AttemptEnded -> sendResults.labelValues(event.target.service, event.result).inc()
            is ForwardEvent.Relayed -> relays.labelValues("sent", event.outcome).inc()
            is ForwardEvent.RelayReceived -> relays.labelValues("received", "none").inc()
            is ForwardEvent.Ended -> {
                val route = event.route ?: "none"
                requests.labelValues(route, event.outcome, (event.code?.number ?: 0).toString()).inc()
                latency.labelValues(route).observe(event.took.toDouble(DurationUnit.SECONDS))
            }
        }
    }

    /** Counts a change in the replication of the store's records, by the event's class name. */
    fun observe(event: FleetEvent) {
        fleetEvents.labelValues(event::class.simpleName.orEmpty()).inc()
        if (event is FleetEvent.CallersTurnedAway) turnedAway.labelValues(event.reason).inc(event.count.toLong())
    }

    /** All metrics in the Prometheus text format. */
    fun text(): String = registry.text()

    private fun counter(
        name: String,
        help: String,
        vararg labels: String,
    ): Counter =
        Counter
            .builder()
            .name(name)
            .help(help)
            .labelNames(*labels)
            .register(registry)
}
