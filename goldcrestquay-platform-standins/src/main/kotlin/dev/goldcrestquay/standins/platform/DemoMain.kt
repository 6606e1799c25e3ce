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

private const val ENTRY_VM_COUNT = 3
private const val TARGET_COUNT = 6
private const val CALLS_PER_PHASE = 200
private const val MAX_ATTEMPTS = 3
private const val TAIL_PERCENTILE = 99
private val CALL_INTERVAL = 10.milliseconds
private val START_TIMEOUT = 60.seconds
private val READY_POLL_INTERVAL = 50.milliseconds

/**
 * Demonstrates the product on stand-ins of the platform: sends calls through three entry VMs while the plan changes, a target drains,
 * another reports a slow machine, the store refuses calls and an entry VM is killed. Exits with 1 when an order ran more than once or
 * more calls failed than the killed entry VM can have held.
 *
 * Writes the settings of the entry VMs to the directory named by the only argument. The script that starts this program also starts
 * the entry VMs and kills the one whose number is written to the file `kill` of that directory.
 */
fun main(arguments: Array<String>) {
    val vertx = Vertx.vertx()
    var hasFailed = true
    try {
        hasFailed = runBlocking { Demo(vertx, File(arguments.single())).run() }
    } finally {
        exitProcess(if (hasFailed) 1 else 0)
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
    private val targets = List(TARGET_COUNT) { TargetStandIn(vertx, "target-$it") }
    private val hosts = List(ENTRY_VM_COUNT) { "127.0.0.${it + 1}" }
    private val firstPort = findFreePorts()
    private val failedAddresses = mutableSetOf<String>()
    private var nextCallNumber = 0

    /** Runs all phases; returns whether an order ran more than once or too many calls failed. */
    suspend fun run(): Boolean {
        store.start()
        store.writePlan(DeploymentDocuments.plan(version = 1))
        targets.forEach {
            it.start()
            store.writeTarget(it.id, it.heartbeat("shop"))
        }
        writeSettings()
        withTimeout(START_TIMEOUT) { while (!hosts.all { isReady(client, firstPort + READY_PORT_OFFSET, it) }) delay(READY_POLL_INTERVAL) }
        println("%-34s %7s %9s %8s %7s %7s %7s".format("while", "asked", "answered", "refused", "failed", "p50 ms", "p99 ms"))
        var failed = runPhase("nothing changes")
        store.writePlan(DeploymentDocuments.plan(version = 2, timeout = "1500ms"))
        failed += runPhase("a new plan comes into force")
        store.writeTarget(targets[0].id, targets[0].heartbeat("shop", state = "draining", sequence = 2))
        failed += runPhase("a target drains")
        targets[1].reportedTimePercent = SLOW_TARGET_PERCENT
        failed += runPhase("a target's machine is slowed")
        store.fault = { StoreFault.REFUSED }
        failed += runPhase("the store refuses calls")
        store.fault = { null }
        File(directory, "kill").writeText("${ENTRY_VM_COUNT - 1}")
        failed += runPhase("an entry VM is killed")
        val repeatedOrders =
            targets
                .flatMap { it.executed }
                .filter { it.uri.startsWith("/unsafe/") }
                .groupBy { it.id.substringBeforeLast('-') }
                .count { it.value.size > 1 }
        println("orders that ran twice: $repeatedOrders; calls to the store: ${store.callsByPath.values.sum()}; failed: $failed")
        return repeatedOrders > 0 || failed > MAX_FAILED_CALLS
    }

    /** Renames each finished file, so that the script that starts the entry VMs never reads a partial one. */
    private fun writeSettings() {
        val seeds = hosts.map { "$it:${firstPort + CONTROL_PORT_OFFSET}" }
        hosts.forEachIndexed { index, host ->
            val draft = File(directory, "draft")
            draft.writeText(DeploymentDocuments.settings("entry-$index", firstPort, store.port, seeds, host))
            draft.renameTo(File(directory, "entry-$index.json"))
        }
    }

    /** Sends [CALLS_PER_PHASE] calls at a steady rate and prints their outcomes under [label]; returns the number of failed calls. */
    private suspend fun runPhase(label: String): Int {
        val outcomes =
            coroutineScope {
                List(CALLS_PER_PHASE) { index ->
                    async {
                        delay(CALL_INTERVAL * index)
                        callWithRetries(nextCallNumber++)
                    }
                }.awaitAll()
            }
        val answered = outcomes.count { it.status == OK }
        val refused = outcomes.count { it.status == NOT_RUN }
        val times = outcomes.map { it.milliseconds }.sorted()
        val failed = CALLS_PER_PHASE - answered - refused
        val tailTime = times[times.size * TAIL_PERCENTILE / 100]
        println("%-34s %7d %9d %8d %7d %7d %7d".format(label, CALLS_PER_PHASE, answered, refused, failed, times[times.size / 2], tailTime))
        return failed
    }

    /** Sends one call as callers do: retries it when it did not run, or when it is safe and got no response. */
    private suspend fun callWithRetries(number: Int): Outcome {
        val (status, duration) =
            measureTimedValue {
                var status = 0
                for (attempt in 0 until MAX_ATTEMPTS) {
                    status = sendAttempt(number, attempt)
                    if (status != NOT_RUN && status != UNREACHABLE && !(status == NO_RESPONSE && isSafe(number))) break
                }
                status
            }
        return Outcome(status, duration.inWholeMilliseconds)
    }

    /** Sends a call once, to an address that has not failed before, and returns its status. */
    private suspend fun sendAttempt(
        number: Int,
        attempt: Int,
    ): Int {
        val kind = if (isSafe(number)) "safe" else "unsafe"
        val address = hosts.firstNotNullOfOrNull { resolve(it) } ?: return UNREACHABLE
        val status =
            statusOf {
                client
                    .post(firstPort, address.substringBefore(':'), "/$kind/x")
                    .putCallerHeaders("call-$number-$attempt", CALL_TIMEOUT_MILLISECONDS.milliseconds)
                    .timeout(CALL_TIMEOUT_MILLISECONDS)
                    .sendBuffer(Buffer.buffer("order"))
                    .coAwait()
                    .statusCode()
            }
        if (status == UNREACHABLE || status == NO_RESPONSE) failedAddresses += address
        return status
    }

    private fun isSafe(number: Int): Boolean = number % 2 == 0

    /** Asks the directory of the entry VM on [host] for an address that has not failed yet; null when it gives none. */
    private suspend fun resolve(host: String): String? {
        var address: String? = null
        statusOf {
            val request =
                client.get(firstPort + DIRECTORY_PORT_OFFSET, host, "/resolve?name=shop.example").timeout(RESOLVE_TIMEOUT_MILLISECONDS)
            val addresses = JsonObject(request.send().coAwait().bodyAsString()).getJsonArray("addresses")
            address = addresses.map { it.toString() }.firstOrNull { it !in failedAddresses }
            OK
        }
        return address
    }

    /** Returns the status that [call] returns, or [UNREACHABLE] or [NO_RESPONSE] when it fails. */
    private suspend fun statusOf(call: suspend () -> Int): Int =
        try {
            call()
        } catch (_: ConnectException) {
            UNREACHABLE
        } catch (_: IOException) {
            NO_RESPONSE
        } catch (_: VertxException) {
            NO_RESPONSE
        } catch (_: TimeoutException) {
            NO_RESPONSE
        }

    private companion object {
        /** The orders that the killed entry VM may have held; they are not retried, since they may have run. */
        const val MAX_FAILED_CALLS = 10

        const val OK = 200

        /** The status of a call that was refused and did not run. */
        const val NOT_RUN = 503

        /** Timeouts of a call and of a request for addresses. */
        const val CALL_TIMEOUT_MILLISECONDS = 2000L
        const val RESOLVE_TIMEOUT_MILLISECONDS = 1000L

        /** Stands in for the status when the connection was refused, so that the call did not run. */
        const val UNREACHABLE = 0

        /** Stands in for the status when no complete response came, so that the call may have run. */
        const val NO_RESPONSE = -1

        /** The execution time that the slowed target reports, in percent of the usual one. */
        const val SLOW_TARGET_PERCENT = 500
    }
}
