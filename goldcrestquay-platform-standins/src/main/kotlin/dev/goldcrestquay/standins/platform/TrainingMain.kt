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
import java.net.ServerSocket
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val UPSTREAMS = 3
private const val REQUESTS = 40
private const val BAD_GATEWAY = 502

/** Nobody listens here, as at a seed that is down. */
private const val DEAD_PORT = 1
private val START_LIMIT = 30.seconds
private val START_CHECK = 50.milliseconds

/** Gives one entry VM a short working day, for its class archive: writes its settings to the file named, then sends requests. */
fun main(arguments: Array<String>) {
    val vertx = Vertx.vertx()
    runBlocking {
        val store = StoreStandIn(vertx)
        store.start()
        store.write("keyed.op", "config", Deployment.plan(version = 1))
        repeat(UPSTREAMS) { index ->
            val upstream = UpstreamStandIn(vertx, "i-$index")
            upstream.start()
            store.write("keyed.servers", upstream.id, upstream.heartbeat("shop"))
        }
        val firstPort = freePorts()
        val file = File(arguments.single())
        val draft = File(file.path + ".draft")
        val peer = mirror(vertx, firstPort + 2)
        val seeds = listOf("127.0.0.1:$DEAD_PORT", "127.0.0.1:$peer")
        draft.writeText(Deployment.settings("training", firstPort, store.port, seeds))
        draft.renameTo(file)
        val client = WebClient.create(vertx)
        withTimeout(START_LIMIT) { while (!isReady(client, firstPort + 1)) delay(START_CHECK) }
        client.get(firstPort + 3, "127.0.0.1", "/resolve?name=shop.example").send().coAwait()
        repeat(REQUESTS) { send(client, firstPort, it) }
    }
    exitProcess(0)
}

/** A peer that gives each call back to the entry VM itself, so that both sides of the exchange are trained; its port. */
private suspend fun mirror(
    vertx: Vertx,
    entryPort: Int,
): Int {
    val client = WebClient.create(vertx)
    return vertx
        .serveOnLoopback { request ->
            request.body().compose { client.post(entryPort, "127.0.0.1", request.uri()).sendBuffer(it) }.onComplete { answer ->
                val response = request.response()
                if (answer.succeeded()) response.end(answer.result().bodyAsBuffer()) else response.setStatusCode(BAD_GATEWAY).end()
            }
        }.actualPort()
}

/** Whether the entry VM on [host] says at [port] that callers may come. */
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
        .putHeader("Host", "shop.example")
        .putHeader("Goldcrestquay-Request-Id", "training-$number")
        .putHeader("Goldcrestquay-Deadline-Ms", "1000")
        .sendBuffer(Buffer.buffer("order"))
        .coAwait()
}

/** The first of four ports in a row that were free a moment ago. */
internal fun freePorts(): Int {
    while (true) {
        val first = ServerSocket(0).use { it.localPort }
        val free =
            (first..first + 3).all { port ->
                try {
                    ServerSocket(port).close()
                    true
                } catch (_: IOException) {
                    false
                }
            }
        if (free) return first
    }
}
