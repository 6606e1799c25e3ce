package dev.goldcrestquay.http

import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.vertx.core.MultiMap
import io.vertx.core.http.HttpServerRequest

/** Creates the spans of a call: one for its way through this entry VM, and a child span for each attempt at a target. */
class CallTracing(
    openTelemetry: OpenTelemetry,
) {
    private val tracer = openTelemetry.getTracer("goldcrestquay")
    private val propagator = openTelemetry.propagators.textMapPropagator

    /** Starts the span of a call, as a child of the span in the trace headers of [request], if any. */
    fun startCall(
        request: HttpServerRequest,
        service: String,
    ): Context {
        val parent = propagator.extract(Context.root(), request.headers(), HeaderGetter)
        val span =
            tracer
                .spanBuilder("call $service")
                .setParent(parent)
                .setSpanKind(SpanKind.SERVER)
                .startSpan()
        return parent.with(span)
    }

    /** Starts the span of an attempt and returns it with the trace headers to send to the target; [attemptNumber] starts at 1. */
    fun startAttempt(
        call: Context,
        target: String,
        attemptNumber: Int,
    ): Pair<Span, List<Pair<String, String>>> {
        val span =
            tracer
                .spanBuilder("attempt")
                .setParent(call)
                .setSpanKind(SpanKind.CLIENT)
                .setAttribute("goldcrestquay.target", target)
                .setAttribute("goldcrestquay.attempt", attemptNumber.toLong())
                .startSpan()
        val headers = mutableListOf<Pair<String, String>>()
        propagator.inject(call.with(span), headers) { carrier, name, value -> carrier?.add(name to value) }
        return span to headers
    }

    /** Ends the span of a call and records the number of its result code; [code] is 0 when a target answered. */
    fun endCall(
        call: Context,
        code: Int,
    ) {
        val span = Span.fromContext(call)
        span.setAttribute("goldcrestquay.code", code.toLong())
        if (code != 0) span.setStatus(StatusCode.ERROR)
        span.end()
    }

    private object HeaderGetter : TextMapGetter<MultiMap> {
        override fun get(
            carrier: MultiMap?,
            key: String,
        ): String? = carrier?.get(key)
    }
}
