package dev.goldcrestquay.http.edge

import dev.goldcrestquay.routing.ForwardEvent
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration

class OrganisationMetricsTest {
    private val metrics = GatewayMetrics()

    private fun lines(): List<String> = metrics.text().lines().filter { it.startsWith("goldcrestquay_organisation_requests_total") }

    private fun observe(organisation: String?) =
        metrics.observe(ForwardEvent.Ended("r", "route", "shop", "ANSWERED", null, Duration.ZERO, false, organisation))

    @Test
    fun `requests are counted by organisation, those beyond a limit together, and none without organisations`() {
        observe(null)
        lines() shouldBe emptyList()
        repeat(2) { (1..250).forEach { observe("t$it") } }
        lines().size shouldBe 201
        lines() shouldContain """goldcrestquay_organisation_requests_total{organisation="t200",outcome="ANSWERED"} 2.0"""
        lines() shouldContain """goldcrestquay_organisation_requests_total{organisation="other",outcome="ANSWERED"} 100.0"""
    }
}
