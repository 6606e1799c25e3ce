package dev.goldcrestquay.daemon

import com.github.michaelbull.result.getOrElse
import dev.goldcrestquay.contract.ResultCode
import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.propagation.ContextPropagators
import io.opentelemetry.exporter.otlp.trace.OtlpGrpcSpanExporter
import io.opentelemetry.sdk.OpenTelemetrySdk
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import java.io.File
import java.io.IOException
import kotlin.concurrent.thread
import kotlin.system.exitProcess

private const val EXIT_BAD_SETTINGS = 2

/** Starts an entry VM: `goldcrestquay-entry --settings FILE`. It drains when the process is asked to terminate. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("goldcrestquay-entry")
    val path by parser.option(ArgType.String, "settings", "s", "The JSON settings file").required()
    parser.parse(arguments)
    val settings = readSettings(path)
    val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(settings.eventLoops + 1))
    val daemon = EntryDaemon(vertx, settings, openTelemetry(settings))
    runBlocking { daemon.start() }
    Runtime.getRuntime().addShutdownHook(thread(start = false) { runBlocking { daemon.drain() } })
}

private fun readSettings(path: String): DaemonSettings {
    val text =
        try {
            File(path).readText()
        } catch (exception: IOException) {
            fail("${ResultCode.UNREADABLE_FILE.number} $path: ${exception.message}")
        }
    return DaemonSettings.read(text).getOrElse { problems -> fail(problems.joinToString("\n")) }
}

private fun fail(message: String): Nothing {
    System.err.println(message)
    exitProcess(EXIT_BAD_SETTINGS)
}

/** Always propagates the W3C trace context; exports spans only when the settings name a collector. */
private fun openTelemetry(settings: DaemonSettings): OpenTelemetry {
    val propagators = ContextPropagators.create(W3CTraceContextPropagator.getInstance())
    val endpoint = settings.otlpEndpoint ?: return OpenTelemetry.propagating(propagators)
    val exporter = OtlpGrpcSpanExporter.builder().setEndpoint(endpoint).build()
    val provider = SdkTracerProvider.builder().addSpanProcessor(BatchSpanProcessor.builder(exporter).build()).build()
    return OpenTelemetrySdk
        .builder()
        .setTracerProvider(provider)
        .setPropagators(propagators)
        .build()
}
