package dev.goldcrestquay.standins.lab

import com.sun.management.OperatingSystemMXBean
import dev.goldcrestquay.contract.environment
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientAgent
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.Histogram
import java.lang.management.ManagementFactory
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val TARGET_COUNT = 4
private const val CONNECTION_POOL_SIZE = 64
private const val HIGHEST_LATENCY_MICROSECONDS = 60_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val MICROSECONDS_PER_MILLISECOND = 1000.0
private const val NANOSECONDS_PER_MICROSECOND = 1000.0

/**
 * Measures the latency and CPU time that one entry VM adds to a call: `overhead [--rate CALLS_PER_SECOND] [--rounds N] [--seconds S]`.
 *
 * Each round calls the same targets first directly and then through the entry VM, at a fixed rate. The CPU time is that of the whole
 * process, which includes the callers and targets. One round that is not reported warms up both ways.
 */
fun main(arguments: Array<String>) {
    val parser = ArgParser("overhead")
    val callsPerSecond by parser.option(ArgType.Int, "rate", "r", "The calls per second").default(1000)
    val rounds by parser.option(ArgType.Int, "rounds", "n", "The rounds, each of which calls both ways").default(3)
    val seconds by parser.option(ArgType.Int, "seconds", "s", "The seconds for each way in a round").default(5)
    parser.parse(arguments)
    val vertx = Vertx.vertx()
    runBlocking { OverheadMeasurement(vertx, callsPerSecond.coerceIn(1, 20_000), seconds.coerceIn(1, 30)).run(rounds.coerceIn(1, 10)) }
    exitProcess(0)
}

private class OverheadMeasurement(
    private val vertx: Vertx,
    private val callsPerSecond: Int,
    private val seconds: Int,
) {
    private val client: HttpClientAgent =
        vertx.createHttpClient(HttpClientOptions().setTcpNoDelay(true), PoolOptions().setHttp1MaxSize(CONNECTION_POOL_SIZE))

    suspend fun run(rounds: Int) {
        val environmentDocument =
            environment("overhead") {
                region("north") { dataCentre("a") }
                service("desk") { repeat(TARGET_COUNT) { target("t$it", "10.0.0.$it:80", "a", slots = 64) } }
            }
        val load = Load("desk", callsPerSecond.toDouble(), meanMilliseconds = 0.0)
        val deployment = Deployment(vertx, Experiment("overhead", "", 1, seconds, loads = listOf(load)), environmentDocument)
        val deploymentStart = TimeSource.Monotonic.markNow()
        deployment.start()
        println("start of platform, targets and entry VM to ready: ${deploymentStart.elapsedNow().inWholeMilliseconds} ms")
        val targetEndpoints =
            deployment.environment.services
                .single()
                .targets
                .map { it.address to "/lookup" }
        val entryEndpoints =
            listOf(
                deployment.entries.values
                    .single()
                    .callerAddress to "/desk/lookup",
            )
        measure(targetEndpoints)
        measure(entryEndpoints)
        println("%-8s %-8s %10s %10s %10s %14s".format("round", "way", "p50 ms", "p99 ms", "calls", "cpu us a call"))
        repeat(rounds) { round ->
            val direct = measure(targetEndpoints).also { it.print(round, "direct") }
            val viaEntryVm = measure(entryEndpoints).also { it.print(round, "entry VM") }
            println(
                "round $round added: p50 %.3f ms, p99 %.3f ms".format(
                    viaEntryVm.percentileMilliseconds(50.0) - direct.percentileMilliseconds(50.0),
                    viaEntryVm.percentileMilliseconds(99.0) - direct.percentileMilliseconds(99.0),
                ),
            )
        }
        deployment.stop()
    }

    private class Measurement(
        val histogram: Histogram,
        val cpuMicrosecondsPerCall: Double,
    ) {
        fun percentileMilliseconds(percentile: Double): Double = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND

        fun print(
            round: Int,
            way: String,
        ) = println(
            "%-8d %-8s %10.3f %10.3f %10d %14.1f".format(
                round,
                way,
                percentileMilliseconds(50.0),
                percentileMilliseconds(99.0),
                histogram.totalCount,
                cpuMicrosecondsPerCall,
            ),
        )
    }

    /** Calls [endpoints], pairs of address and path, in turn at the fixed rate; latency counts from the time when a call was due. */
    private suspend fun measure(endpoints: List<Pair<String, String>>): Measurement {
        val histogram = Histogram(HIGHEST_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
        val cpuNanosecondsBefore = processCpuNanoseconds()
        val start = TimeSource.Monotonic.markNow()
        coroutineScope {
            val eventLoopScope = CoroutineScope(coroutineContext + vertx.dispatcher())
            repeat(callsPerSecond * seconds) { sequenceNumber ->
                val due = (sequenceNumber * 1_000_000L / callsPerSecond).microseconds
                val wait = due - start.elapsedNow()
                if (wait > 1.milliseconds) delay(wait)
                eventLoopScope.launch {
                    val (address, path) = endpoints[sequenceNumber % endpoints.size]
                    sendCall(address, path)
                    val latency = (start.elapsedNow() - due).inWholeMicroseconds
                    synchronized(histogram) { histogram.recordValue(latency.coerceIn(1, HIGHEST_LATENCY_MICROSECONDS)) }
                }
            }
        }
        val averageCpuMicroseconds = (processCpuNanoseconds() - cpuNanosecondsBefore) / NANOSECONDS_PER_MICROSECOND / histogram.totalCount
        return Measurement(histogram, averageCpuMicroseconds)
    }

    private suspend fun sendCall(
        address: String,
        path: String,
    ) {
        val options =
            RequestOptions()
                .setHost(address.substringBeforeLast(':'))
                .setPort(address.substringAfterLast(':').toInt())
                .setURI(path)
        client
            .request(options)
            .compose { it.send() }
            .compose { it.body() }
            .coAwait()
    }
}

/** The CPU time that this process has used so far, in nanoseconds. */
fun processCpuNanoseconds(): Long = (ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean).processCpuTime
