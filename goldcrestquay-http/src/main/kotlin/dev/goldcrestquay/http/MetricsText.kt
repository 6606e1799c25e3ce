package dev.goldcrestquay.http

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** All metrics of this registry in the Prometheus text format. */
internal fun PrometheusRegistry.text(): String {
    val buffer = ByteArrayOutputStream()
    PrometheusTextFormatWriter.create().write(buffer, scrape())
    return buffer.toString(Charsets.UTF_8)
}
