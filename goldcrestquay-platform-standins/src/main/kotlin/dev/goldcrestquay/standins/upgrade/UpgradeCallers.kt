package dev.goldcrestquay.standins.upgrade

import dev.goldcrestquay.standins.platform.putCallerHeaders
import io.vertx.core.VertxException
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.json.DecodeException
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import java.io.IOException
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Callers that ask the directory where to connect, keep their connections, and send requests of every kind. */
internal class UpgradeCallers(
    private val deployment: UpgradeDeployment,
    private val record: UpgradeRecord,
    private val random: Random,
) {
    private val requestCount = AtomicInteger()

    /** The hosts of the entry VMs of the last directory response. */
    @Volatile
    private var hosts = deployment.entryVms.map { deployment.address(it).host }

    /** Asks the directory again before its last response is too old; never returns. */
    suspend fun followDirectory() {
        while (true) {
            val found = deployment.entryVms.shuffled(random).firstNotNullOfOrNull { askDirectory(deployment.address(it).host) }
            if (found != null) hosts = found
            delay(DIRECTORY_INTERVAL)
        }
    }

    private suspend fun askDirectory(host: String): List<String>? =
        try {
            val response =
                deployment.client
                    .get(deployment.directoryPort, host, "/resolve?name=shop.example")
                    .timeout(1.seconds.inWholeMilliseconds)
                    .send()
                    .coAwait()
            val addresses = if (response.statusCode() == OK) response.bodyAsJsonObject().getJsonArray("addresses") else null
            addresses?.map { it.toString().substringBefore(':') }?.ifEmpty { null }
        } catch (_: IOException) {
            null
        } catch (_: VertxException) {
            null
        } catch (_: TimeoutException) {
            null
        } catch (_: DecodeException) {
            null
        }

    /** Sends one request after the other; never returns. */
    suspend fun call() {
        while (true) {
            val number = requestCount.incrementAndGet()
            val kind = UpgradeDeployment.BASE_KINDS[number % UpgradeDeployment.BASE_KINDS.size]
            val host = hosts.random(random)
            val sentAt = record.now
            val status = send(host, kind, "call-$number")
            record.add(CallerRequest("call-$number", kind, host, sentAt, status))
            delay(random.nextLong(MINIMUM_PAUSE_MILLISECONDS, MAXIMUM_PAUSE_MILLISECONDS).milliseconds)
        }
    }

    /** The status of the response to one request, or null when the connection ends without one. */
    suspend fun send(
        host: String,
        kind: String,
        id: String,
    ): Int? {
        val method = if (kind in READING_KINDS) HttpMethod.GET else HttpMethod.POST
        return try {
            deployment.client
                .request(method, deployment.address("entry-0").firstPort, host, "/$kind/x")
                .putCallerHeaders(id, DEADLINE)
                .sendBuffer(Buffer.buffer(if (kind in READING_KINDS) "" else id))
                .coAwait()
                .statusCode()
        } catch (_: IOException) {
            null
        } catch (_: VertxException) {
            null
        }
    }

    private companion object {
        const val OK = 200
        const val MINIMUM_PAUSE_MILLISECONDS = 20L
        const val MAXIMUM_PAUSE_MILLISECONDS = 150L
        val READING_KINDS = setOf("safe", "download")
        val DEADLINE = 3.seconds
        val DIRECTORY_INTERVAL = 1.seconds
    }
}
