package dev.goldcrestquay.http.edge

import dev.goldcrestquay.http.text
import dev.goldcrestquay.machine.FleetEvent
import dev.goldcrestquay.routing.ForwardEvent
import dev.goldcrestquay.usage.UsageEvent
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
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
    private val roomRefusals =
        counter("goldcrestquay_room_refusals_total", "Requests refused for lack of room, by reason.", "service", "route", "reason")
    private val admittedShare =
        Gauge
            .builder()
            .name("goldcrestquay_admitted_share")
            .help("Share of the requests of a kind that its service took at the last refusal.")
            .labelNames("service", "route")
            .register(registry)
    private val relays =
        counter("goldcrestquay_relays_total", "Requests relayed, by direction (sent or received) and outcome.", "direction", "outcome")
    private val secondSends =
        counter("goldcrestquay_second_sends_total", "Requests sent to a second target while an attempt was under way, by route.", "route")
    private val secondSendsEnded =
        counter("goldcrestquay_second_sends_ended_total", "Ends of these, by route and which attempt had a good answer.", "route", "winner")
    private val fleetEvents = counter("goldcrestquay_belief_changes_total", "Changes of what the entry VM believes, by kind.", "kind")
    private val turnedAway =
        counter("goldcrestquay_callers_turned_away_total", "Callers closed or refused to save memory, by reason.", "reason")
    private val organisationRequests =
        counter("goldcrestquay_organisation_requests_total", "Requests by organisation and outcome.", "organisation", "outcome")

    /** The organisations that have a metric of their own. */
    private val namedOrganisations = HashSet<String>()
    private val usageEvents = counter("goldcrestquay_usage_events_total", "What the holder of the usage duty decided, by kind.", "kind")
    private val usageWindows =
        counter("goldcrestquay_usage_windows_total", "Windows of usage by outcome (sent, late or lost).", "outcome")
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
            is ForwardEvent.Refused -> {
                probes.labelValues(event.target.service).inc(event.probes.toLong())
                event.room?.let {
                    roomRefusals.labelValues(event.target.service, event.route, it.reason.name).inc()
                    admittedShare.labelValues(event.target.service, event.route).set(it.share)
                }
            }
            is ForwardEvent.RequestLimitChanged -> requestLimitChanges.labelValues(event.target.service).inc()
            is ForwardEvent.AttemptEnded -> sendResults.labelValues(event.target.service, event.result).inc()
            is ForwardEvent.SentTwice -> secondSends.labelValues(event.route).inc()
            is ForwardEvent.SentTwiceEnded -> secondSendsEnded.labelValues(event.route, event.winner).inc()
            is ForwardEvent.Relayed -> relays.labelValues("sent", event.outcome).inc()
            is ForwardEvent.RelayReceived -> relays.labelValues("received", "none").inc()
            is ForwardEvent.Ended -> {
                val route = event.route ?: "none"
                requests.labelValues(route, event.outcome, (event.code?.number ?: 0).toString()).inc()
                event.organisation?.let { organisationRequests.labelValues(labelOf(it), event.outcome).inc() }
                latency.labelValues(route).observe(event.took.toDouble(DurationUnit.SECONDS))
            }
        }
    }

    private fun labelOf(organisation: String): String =
        if (organisation in namedOrganisations ||
            (namedOrganisations.size < MAXIMUM_NAMED_ORGANISATIONS && namedOrganisations.add(organisation))
        ) {
            organisation
        } else {
            OTHER_ORGANISATIONS
        }

    /** Counts a change in the replication of the store's records, by the event's class name. */
    fun observe(event: FleetEvent) {
        fleetEvents.labelValues(event::class.simpleName.orEmpty()).inc()
        if (event is FleetEvent.CallersTurnedAway) turnedAway.labelValues(event.reason).inc(event.count.toLong())
    }

    /** Counts what became of windows of usage, and what the holder of the duty decided, by the event's class name. */
    fun observe(event: UsageEvent) {
        usageEvents.labelValues(event::class.simpleName.orEmpty()).inc()
        when (event) {
            is UsageEvent.WindowSent -> usageWindows.labelValues(if (event.isLate) "late" else "sent").inc()
            is UsageEvent.WindowsLost -> usageWindows.labelValues("lost").inc(event.through - event.from + 1)
            else -> Unit
        }
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

    private companion object {
        /** The organisations with a metric of their own; the requests of all others are counted together. */
        const val MAXIMUM_NAMED_ORGANISATIONS = 200
        const val OTHER_ORGANISATIONS = "other"
    }
}
