package dev.goldcrestquay.http

import dev.goldcrestquay.contract.Outcome
import dev.goldcrestquay.machine.EntryVm
import dev.goldcrestquay.routing.RoutingEvent
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** The Prometheus metrics of one entry VM. */
class EntryMetrics {
    private val registry = PrometheusRegistry()
    private val calls =
        Counter
            .builder()
            .name("goldcrestquay_calls_total")
            .help("Calls by service, outcome and result code.")
            .labelNames("service", "outcome", "code")
            .register(registry)
    private val latency =
        Histogram
            .builder()
            .name("goldcrestquay_call_seconds")
            .help("Time from a call's arrival to the end of its answer.")
            .labelNames("service")
            .register(registry)
    private val attempts =
        Counter
            .builder()
            .name("goldcrestquay_attempts_total")
            .help("Attempts sent, by service, data centre and version.")
            .labelNames("service", "data_centre", "version")
            .register(registry)
    private val retries =
        Counter
            .builder()
            .name("goldcrestquay_retries_total")
            .help("Calls sent again, by service.")
            .labelNames("service")
            .register(registry)
    private val failures =
        Counter
            .builder()
            .name("goldcrestquay_attempt_failures_total")
            .help("Attempts that a target failed, by service and target.")
            .labelNames("service", "target")
            .register(registry)

    /** Counts a routing event. */
    fun observe(event: RoutingEvent) {
        when (event) {
            is RoutingEvent.Sent -> attempts.labelValues(event.service, event.target.dataCentre, event.target.version).inc()
            is RoutingEvent.Retried -> retries.labelValues(event.service).inc()
            is RoutingEvent.Ended -> if (event.failed) failures.labelValues(event.service, event.target.name).inc()
            is RoutingEvent.Refused -> Unit
        }
    }

    /** Records the outcome and the duration of a call that has ended. */
    fun recordCallEnd(
        service: String,
        outcome: Outcome<*>,
        seconds: Double,
    ) {
        latency.labelValues(service).observe(seconds)
        when (outcome) {
            is Outcome.Answered -> calls.labelValues(service, "answered", "0").inc()
            is Outcome.NotRun -> calls.labelValues(service, "not-run", outcome.code.number.toString()).inc()
            is Outcome.Unknown -> calls.labelValues(service, "unknown", outcome.code.number.toString()).inc()
        }
    }

    /** Registers gauges that read the tables of [entryVm]. */
    fun registerGauges(entryVm: EntryVm) {
        gauge("goldcrestquay_generation", "The generation in force.") {
            entryVm.environments.state.generation
                .toDouble()
        }
        gauge("goldcrestquay_members_alive", "The entry VMs believed to serve.") {
            entryVm.members.alive.size
                .toDouble()
        }
        gauge(
            "goldcrestquay_log_reachable",
            "1 when the log answered a short while ago.",
        ) { if (entryVm.control.logReachable) 1.0 else 0.0 }
        gauge("goldcrestquay_ready", "1 when callers may be sent here.") { if (entryVm.ready) 1.0 else 0.0 }
    }

    /** All metrics in the Prometheus text format. */
    fun text(): String = registry.text()

    private fun gauge(
        name: String,
        help: String,
        read: () -> Double,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(read()) }
            .register(registry)
    }
}
