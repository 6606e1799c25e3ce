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

private const val TARGETS = 4
private const val MICROSECONDS = 1000.0

/**
 * Measures what one entry VM adds to a call: the same targets called directly and through it, in turns, at a fixed rate.
 *
 * `overhead [--rate CALLS_PER_SECOND] [--rounds N] [--seconds S]`
 */
fun main(arguments: Array<String>) {
    val parser = ArgParser("overhead")
    val rate by parser.option(ArgType.Int, "rate", "r", "Calls a second").default(1000)
    val rounds by parser.option(ArgType.Int, "rounds", "n", "Rounds of both ways").default(3)
    val seconds by parser.option(ArgType.Int, "seconds", "s", "Seconds of each way in a round").default(5)
    parser.parse(arguments)
    val vertx = Vertx.vertx()
    runBlocking { Overhead(vertx, rate.coerceIn(1, 20_000), seconds.coerceIn(1, 30)).run(rounds.coerceIn(1, 10)) }
    exitProcess(0)
}

private class Overhead(
    private val vertx: Vertx,
    private val rate: Int,
    private val seconds: Int,
) {
    private val client: HttpClientAgent =
        vertx.createHttpClient(HttpClientOptions().setTcpNoDelay(true), PoolOptions().setHttp1MaxSize(64))

    suspend fun run(rounds: Int) {
        val document =
            environment("overhead") {
                region("north") { dataCentre("a") }
                service("desk") { repeat(TARGETS) { target("t$it", "10.0.0.$it:80", "a", slots = 64) } }
            }
        val load = Load("desk", rate.toDouble(), meanMilliseconds = 0.0)
        val deployment = Deployment(vertx, Experiment("overhead", "", 1, seconds, loads = listOf(load)), document)
        val startedAt = TimeSource.Monotonic.markNow()
        deployment.start()
        println("start of platform, targets and entry VM to ready: ${startedAt.elapsedNow().inWholeMilliseconds} ms")
        val targets =
            deployment.environment.services
                .single()
                .targets
                .map { it.address to "/lookup" }
        val entry =
            listOf(
                deployment.entries.values
                    .single()
                    .callerAddress to "/desk/lookup",
            )
        measure(targets)
        measure(entry)
        println("%-8s %-8s %10s %10s %10s %14s".format("round", "way", "p50 ms", "p99 ms", "calls", "cpu us a call"))
        repeat(rounds) { round ->
            val direct = measure(targets).also { it.print(round, "direct") }
            val through = measure(entry).also { it.print(round, "entry VM") }
            println(
                "round $round added: p50 %.3f ms, p99 %.3f ms".format(
                    through.at(50.0) - direct.at(50.0),
                    through.at(99.0) - direct.at(99.0),
                ),
            )
        }
        deployment.stop()
    }

    private class Measured(
        val histogram: Histogram,
        val processorMicroseconds: Double,
    ) {
        fun at(percentile: Double): Double = histogram.getValueAtPercentile(percentile) / MICROSECONDS

        fun print(
            round: Int,
            way: String,
        ) = println(
            "%-8d %-8s %10.3f %10.3f %10d %14.1f".format(round, way, at(50.0), at(99.0), histogram.totalCount, processorMicroseconds),
        )
    }

    /** Calls at the fixed rate; latency counts from when a call was due. */
    private suspend fun measure(places: List<Pair<String, String>>): Measured {
        val histogram = Histogram(60_000_000L, 3)
        val processorBefore = processCpuNanoseconds()
        val start = TimeSource.Monotonic.markNow()
        coroutineScope {
            val dispatched = CoroutineScope(coroutineContext + vertx.dispatcher())
            repeat(rate * seconds) { number ->
                val due = (number * 1_000_000L / rate).microseconds
                val wait = due - start.elapsedNow()
                if (wait > 1.milliseconds) delay(wait)
                dispatched.launch {
                    val (address, path) = places[number % places.size]
                    call(address, path)
                    val latency = (start.elapsedNow() - due).inWholeMicroseconds
                    synchronized(histogram) { histogram.recordValue(latency.coerceIn(1, 60_000_000L)) }
                }
            }
        }
        val processor = (processCpuNanoseconds() - processorBefore) / MICROSECONDS / histogram.totalCount
        return Measured(histogram, processor)
    }

    private suspend fun call(
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

/** The processor time that this process has used, in nanoseconds. */
fun processCpuNanoseconds(): Long = (ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean).processCpuTime
