package dev.goldcrestquay.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import dev.goldcrestquay.link.LinkFailure
import dev.goldcrestquay.link.LogBatch
import dev.goldcrestquay.link.LogEntry
import dev.goldcrestquay.link.LogLink
import dev.goldcrestquay.link.VmListLink
import dev.goldcrestquay.machine.ListedVm
import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.net.ConnectException

/** One record of a [PlatformBatch]. */
@Serializable
data class PlatformRecord(
    val offset: Long,
    val text: String,
)

/**
 * The platform's reply to a read from a stream.
 *
 * @property oldest the oldest offset that the stream still keeps.
 * @property next the offset to read from next.
 */
@Serializable
data class PlatformBatch(
    val oldest: Long,
    val next: Long,
    val records: List<PlatformRecord>,
)

/** The platform's reply to an append: the [offset] of the new record. */
@Serializable
data class PlatformOffset(
    val offset: Long,
)

/** One VM on the platform's VM list. */
@Serializable
data class PlatformVm(
    val name: String,
    val dataCentre: String,
    val peerAddress: String,
    val leaving: Boolean = false,
)

/** A client of the platform's log service and VM list; [address] is their IP address and port, [stream] the environment's stream. */
class PlatformClient(
    vertx: Vertx,
    address: String,
    stream: String,
) {
    private val client =
        WebClient.create(
            vertx,
            WebClientOptions()
                .setDefaultHost(address.substringBeforeLast(':'))
                .setDefaultPort(address.substringAfterLast(':').toInt())
                .setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS),
        )

    /** The environment's stream. */
    val log: LogLink = stream(stream)

    /** The stream of the environment's snapshots. */
    val snapshots: LogLink = stream("$stream.snapshots")

    /** The VM list. */
    val vmList: VmListLink = {
        fetch { client.get("/vms").send().coAwait() }.parse { text ->
            json.decodeFromString<List<PlatformVm>>(text).map { ListedVm(it.name, it.dataCentre, it.peerAddress, it.leaving) }
        }
    }

    private fun stream(name: String): LogLink {
        val path = "/streams/$name/records"
        return LogLink(append = { append(path, it) }, read = { read(path, it) })
    }

    private suspend fun append(
        path: String,
        record: String,
    ): Result<Long, LinkFailure> =
        fetch { client.post(path).sendBuffer(Buffer.buffer(record)).coAwait() }
            .parse { json.decodeFromString<PlatformOffset>(it).offset }

    private suspend fun read(
        path: String,
        from: Long,
    ): Result<LogBatch, LinkFailure> =
        fetch {
            client
                .get(path)
                .addQueryParam("from", from.toString())
                .send()
                .coAwait()
        }.parse { text ->
            val batch = json.decodeFromString<PlatformBatch>(text)
            LogBatch(batch.oldest, batch.next, batch.records.map { LogEntry(it.offset, it.text) })
        }

    /**
     * Sends a request and returns the text of its response.
     *
     * Only a refused connection and the statuses 429 and 503 prove that nothing was done; after any other failure, an append may have
     * taken effect.
     */
    private suspend fun fetch(request: suspend () -> HttpResponse<Buffer>): Result<String, LinkFailure> =
        try {
            val response = request()
            when (response.statusCode()) {
                OK -> Ok(response.bodyAsString().orEmpty())
                TOO_MANY_REQUESTS -> Err(LinkFailure.THROTTLED)
                SERVICE_UNAVAILABLE -> Err(LinkFailure.UNREACHABLE)
                else -> Err(LinkFailure.REPLY_LOST)
            }
        } catch (_: ConnectException) {
            Err(LinkFailure.UNREACHABLE)
        } catch (_: IOException) {
            Err(LinkFailure.REPLY_LOST)
        } catch (_: VertxException) {
            Err(LinkFailure.REPLY_LOST)
        }

    private fun <T> Result<String, LinkFailure>.parse(read: (String) -> T): Result<T, LinkFailure> =
        flatMap { text ->
            try {
                Ok(read(text))
            } catch (_: SerializationException) {
                Err(LinkFailure.REPLY_LOST)
            }
        }

    private companion object {
        const val CONNECT_TIMEOUT_MILLISECONDS = 1000
        const val OK = 200
        const val TOO_MANY_REQUESTS = 429
        const val SERVICE_UNAVAILABLE = 503
        val json = Json { ignoreUnknownKeys = true }
    }
}
