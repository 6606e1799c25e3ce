package dev.goldcrestquay.http

import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.vertx.core.MultiMap
import io.vertx.core.http.HttpServerRequest

/** The spans of a call: one for the hop through this entry VM, one for each attempt at a target. */
class CallTracing(
    openTelemetry: OpenTelemetry,
) {
    private val tracer = openTelemetry.getTracer("goldcrestquay")
    private val propagator = openTelemetry.propagators.textMapPropagator

    /** Starts the span of a call, below the one that the caller sent. */
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

    /** Starts the span of an attempt and returns the headers that pass it on. */
    fun startAttempt(
        call: Context,
        target: String,
        number: Int,
    ): Pair<Span, List<Pair<String, String>>> {
        val span =
            tracer
                .spanBuilder("attempt")
                .setParent(call)
                .setSpanKind(SpanKind.CLIENT)
                .setAttribute("goldcrestquay.target", target)
                .setAttribute("goldcrestquay.attempt", number.toLong())
                .startSpan()
        val headers = mutableListOf<Pair<String, String>>()
        propagator.inject(call.with(span), headers) { carrier, name, value -> carrier?.add(name to value) }
        return span to headers
    }

    /** Ends the span of a call with its result code, 0 for an answer. */
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
