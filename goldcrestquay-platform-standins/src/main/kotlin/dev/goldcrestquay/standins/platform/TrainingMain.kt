package dev.goldcrestquay.standins.platform

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val TARGET_COUNT = 3
private const val REQUEST_COUNT = 40
private const val KEY = "training-key"
private const val BAD_GATEWAY = 502

/** A port that nothing listens on, like that of a seed that is down. */
private const val CLOSED_PORT = 1
private val START_TIMEOUT = 30.seconds
private val READY_POLL_INTERVAL = 50.milliseconds

/**
 * Exercises one entry VM, so that the class data sharing (CDS) archive that is made at its exit holds the classes it needs to serve.
 *
 * Writes the settings of the entry VM to the file named by the only argument, waits until it is ready and sends it requests. The
 * script that builds the archive starts the entry VM.
 */
fun main(arguments: Array<String>) {
    val vertx = Vertx.vertx()
    runBlocking {
        val store = StoreStandIn(vertx)
        store.start()
        store.writePlan(DeploymentDocuments.plan(version = 1, tenants = mapOf("training" to listOf(KEY))))
        repeat(TARGET_COUNT) { index ->
            val target = TargetStandIn(vertx, "i-$index")
            target.start()
            store.writeTarget(target.id, target.heartbeat("shop"))
        }
        val firstPort = findFreePorts()
        val file = File(arguments.single())
        val draft = File(file.path + ".draft")
        val peerPort = startForwardingPeer(vertx, firstPort + CONTROL_PORT_OFFSET)
        val seeds = listOf("127.0.0.1:$CLOSED_PORT", "127.0.0.1:$peerPort")
        draft.writeText(DeploymentDocuments.settings("training", firstPort, store.port, seeds))
        draft.renameTo(file)
        val client = WebClient.create(vertx)
        withTimeout(START_TIMEOUT) { while (!isReady(client, firstPort + READY_PORT_OFFSET)) delay(READY_POLL_INTERVAL) }
        client.get(firstPort + DIRECTORY_PORT_OFFSET, "127.0.0.1", "/resolve?name=shop.example").send().coAwait()
        repeat(REQUEST_COUNT) { send(client, firstPort, it) }
    }
    exitProcess(0)
}

/**
 * Starts a peer that forwards each call back to the entry VM itself, so that both the client and the server of the peer exchange run.
 *
 * @return the port of the peer.
 */
private suspend fun startForwardingPeer(
    vertx: Vertx,
    controlPort: Int,
): Int {
    val client = WebClient.create(vertx)
    return vertx
        .serveOnLoopback { request ->
            request.body().compose { client.post(controlPort, "127.0.0.1", request.uri()).sendBuffer(it) }.onComplete { forwarded ->
                val response = request.response()
                if (forwarded.succeeded()) response.end(forwarded.result().bodyAsBuffer()) else response.setStatusCode(BAD_GATEWAY).end()
            }
        }.actualPort()
}

/** Returns whether the readiness check of an entry VM, on [port] of [host], responds with 200; false when it cannot be reached. */
internal suspend fun isReady(
    client: WebClient,
    port: Int,
    host: String = "127.0.0.1",
): Boolean =
    try {
        client
            .get(port, host, "/ready")
            .send()
            .coAwait()
            .statusCode() == 200
    } catch (_: IOException) {
        false
    }

private suspend fun send(
    client: WebClient,
    port: Int,
    number: Int,
) {
    val kind = if (number % 2 == 0) "safe" else "unsafe"
    val request = if (number % 2 == 0) client.get(port, "127.0.0.1", "/$kind/x") else client.post(port, "127.0.0.1", "/$kind/x")
    request
        .putCallerHeaders("training-$number", 1.seconds)
        .putHeader("Authorization", "Bearer $KEY")
        .sendBuffer(Buffer.buffer("order"))
        .coAwait()
}
