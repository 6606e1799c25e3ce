package dev.goldcrestquay.standins.platform

import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.core.buffer.Buffer
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.io.File
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.TimeoutException
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

private const val ENTRY_VMS = 3
private const val TARGETS = 6
private const val CALLS = 200
private const val CALL_ATTEMPTS = 3
private const val HIGHEST_PERCENT = 99
private val CALL_PAUSE = 10.milliseconds
private val START_LIMIT = 60.seconds
private val CHECK_PAUSE = 50.milliseconds

/**
 * Shows the product on stand-ins of the platform: calls through three entry VMs while plans change, a target leaves, the store
 * is away and an entry VM is killed.
 *
 * Writes the settings of the entry VMs to the directory named; whoever starts them also kills the one that the file `kill` names.
 */
fun main(arguments: Array<String>) {
    val vertx = Vertx.vertx()
    var broken = true
    try {
        broken = runBlocking { Demo(vertx, File(arguments.single())).run() }
    } finally {
        exitProcess(if (broken) 1 else 0)
    }
}

private class Demo(
    private val vertx: Vertx,
    private val directory: File,
) {
    private class Outcome(
        val status: Int,
        val milliseconds: Long,
    )

    private val client = WebClient.create(vertx)
    private val store = StoreStandIn(vertx)
    private val targets = List(TARGETS) { UpstreamStandIn(vertx, "target-$it") }
    private val hosts = List(ENTRY_VMS) { "127.0.0.${it + 1}" }
    private val firstPort = freePorts()
    private val avoided = mutableSetOf<String>()
    private var calls = 0

    /** Runs all parts; returns whether a promise was broken. */
    suspend fun run(): Boolean {
        store.start()
        store.write("keyed.op", "config", Deployment.plan(version = 1))
        targets.forEach {
            it.start()
            store.write("keyed.servers", it.id, it.heartbeat("shop"))
        }
        writeSettings()
        withTimeout(START_LIMIT) { while (!hosts.all { isReady(client, firstPort + 1, it) }) delay(CHECK_PAUSE) }
        println("%-34s %7s %9s %8s %7s %7s %7s".format("while", "asked", "answered", "refused", "failed", "p50 ms", "p99 ms"))
        var failed = show("all is calm")
        store.write("keyed.op", "config", Deployment.plan(version = 2, timeout = "1500ms"))
        failed += show("a new plan comes into force")
        store.write("keyed.servers", targets[0].id, targets[0].heartbeat("shop", state = "draining", sequence = 2))
        failed += show("a target drains")
        targets[1].slowness = SLOWED
        failed += show("a target's machine is slowed")
        store.fault = { StoreFault.REFUSED }
        failed += show("the store turns everybody away")
        store.fault = { null }
        File(directory, "kill").writeText("${ENTRY_VMS - 1}")
        failed += show("an entry VM is killed")
        val twice =
            targets
                .flatMap { it.ran }
                .filter { it.uri.startsWith("/unsafe/") }
                .groupBy { it.id.substringBeforeLast('-') }
                .count { it.value.size > 1 }
        println("orders that ran twice: $twice; calls to the store: ${store.calls.values.sum()}; failed: $failed")
        return twice > 0 || failed > MOST_IN_FLIGHT
    }

    private fun writeSettings() {
        val seeds = hosts.map { "$it:${firstPort + 2}" }
        hosts.forEachIndexed { index, host ->
            val draft = File(directory, "draft")
            draft.writeText(Deployment.settings("entry-$index", firstPort, store.port, seeds, host))
            draft.renameTo(File(directory, "entry-$index.json"))
        }
    }

    /** Sends [CALLS] calls at a steady rate and prints how they ended; returns how many failed. */
    private suspend fun show(what: String): Int {
        val outcomes =
            coroutineScope {
                List(CALLS) { index ->
                    async {
                        delay(CALL_PAUSE * index)
                        call(calls++)
                    }
                }.awaitAll()
            }
        val answered = outcomes.count { it.status == OK }
        val refused = outcomes.count { it.status == NOT_RUN }
        val times = outcomes.map { it.milliseconds }.sorted()
        val failed = CALLS - answered - refused
        val slowest = times[times.size * HIGHEST_PERCENT / 100]
        println("%-34s %7d %9d %8d %7d %7d %7d".format(what, CALLS, answered, refused, failed, times[times.size / 2], slowest))
        return failed
    }

    /** One call as callers make it: an order that may have run is not sent again, everything else is, elsewhere. */
    private suspend fun call(number: Int): Outcome {
        val (status, took) =
            measureTimedValue {
                var status = 0
                for (attempt in 0 until CALL_ATTEMPTS) {
                    status = attempt(number, attempt)
                    if (status != NOT_RUN && status != UNREACHABLE && !(status == BROKEN && isLookup(number))) break
                }
                status
            }
        return Outcome(status, took.inWholeMilliseconds)
    }

    private suspend fun attempt(
        number: Int,
        attempt: Int,
    ): Int {
        val kind = if (isLookup(number)) "safe" else "unsafe"
        val address = hosts.firstNotNullOfOrNull { resolve(it) } ?: return UNREACHABLE
        val status =
            answered {
                client
                    .post(firstPort, address.substringBefore(':'), "/$kind/x")
                    .putHeader("Host", "shop.example")
                    .putHeader("Goldcrestquay-Request-Id", "call-$number-$attempt")
                    .putHeader("Goldcrestquay-Deadline-Ms", "$CALL_LIMIT")
                    .timeout(CALL_LIMIT)
                    .sendBuffer(Buffer.buffer("order"))
                    .coAwait()
                    .statusCode()
            }
        if (status == UNREACHABLE || status == BROKEN) avoided += address
        return status
    }

    private fun isLookup(number: Int): Boolean = number % 2 == 0

    /** An address from the directory of [host] that has not failed yet, or null when there is no answer. */
    private suspend fun resolve(host: String): String? {
        var address: String? = null
        answered {
            val call = client.get(firstPort + 3, host, "/resolve?name=shop.example").timeout(RESOLVE_LIMIT)
            val addresses = JsonObject(call.send().coAwait().bodyAsString()).getJsonArray("addresses")
            address = addresses.map { it.toString() }.firstOrNull { it !in avoided }
            OK
        }
        return address
    }

    /** The status that [call] gives, or how it failed. */
    private suspend fun answered(call: suspend () -> Int): Int =
        try {
            call()
        } catch (_: ConnectException) {
            UNREACHABLE
        } catch (_: IOException) {
            BROKEN
        } catch (_: VertxException) {
            BROKEN
        } catch (_: TimeoutException) {
            BROKEN
        }

    private companion object {
        /** Orders that the killed entry VM may have held; nobody can say whether they ran. */
        const val MOST_IN_FLIGHT = 10

        const val OK = 200
        const val NOT_RUN = 503

        /** How long callers wait for a call and for addresses, in milliseconds. */
        const val CALL_LIMIT = 2000L
        const val RESOLVE_LIMIT = 1000L

        /** Stands for a connection that was refused. */
        const val UNREACHABLE = 0

        /** Stands for no whole answer. */
        const val BROKEN = -1

        /** Work takes this many percent of its usual time. */
        const val SLOWED = 500
    }
}
