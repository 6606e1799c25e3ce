package dev.goldcrestquay.http.edge

import dev.goldcrestquay.machine.ExchangeReply
import dev.goldcrestquay.machine.ExchangeRequest
import dev.goldcrestquay.machine.SocketAddress
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Exchanges records, members and evidence between entry VMs as JSON over HTTP. */
class PeerExchange(
    private val callClient: HttpCallClient,
    private val scope: CoroutineScope,
) {
    /** Sends [request] to the entry VM at [address]; null when it does not answer, refuses the request or sends an unreadable reply. */
    suspend fun ask(
        address: SocketAddress,
        request: ExchangeRequest,
    ): ExchangeReply? =
        try {
            val body = json.encodeToString(ExchangeRequest.serializer(), request).encodeToByteArray()
            val response = callClient.call(address, "POST", PATH, "application/json", body)
            if (response.status == OK) json.decodeFromString(ExchangeReply.serializer(), decompress(response.body)) else null
        } catch (_: IOException) {
            null
        } catch (exception: IllegalArgumentException) {
            log.warn("unreadable exchange reply from peer {}: {}", address, describe(exception))
            null
        }

    /** Sends the reply that [answer] gives to an exchange request; other paths get status 404, unreadable requests 400. */
    fun handle(
        request: HttpServerRequest,
        answer: suspend (ExchangeRequest) -> ExchangeReply,
    ) {
        if (request.path() != PATH) {
            request.response().setStatusCode(NOT_FOUND).end()
            return
        }
        scope.launch {
            val status =
                try {
                    val exchangeRequest = json.decodeFromString(ExchangeRequest.serializer(), readBody(request).toString())
                    val reply = json.encodeToString(ExchangeReply.serializer(), answer(exchangeRequest))
                    request.response().putHeader("Content-Type", "application/json").end(Buffer.buffer(compress(reply)))
                    return@launch
                } catch (exception: IllegalArgumentException) {
                    log.warn("unreadable exchange request from a peer: {}", describe(exception))
                    BAD_REQUEST
                } catch (exception: IOException) {
                    log.warn("broken exchange request from a peer: {}", exception.message)
                    BAD_REQUEST
                }
            request.response().setStatusCode(status).end()
        }
    }

    /** The complete body of [request]; throws [IOException] when it breaks off or is larger than [MAXIMUM_BODY_BYTES]. */
    private suspend fun readBody(request: HttpServerRequest): Buffer {
        val buffered = Buffer.buffer()
        val end = CompletableDeferred<Unit>()
        request.handler { chunk ->
            if (buffered.length() + chunk.length() <= MAXIMUM_BODY_BYTES) {
                buffered.appendBuffer(chunk)
            } else {
                end.completeExceptionally(IOException("more than $MAXIMUM_BODY_BYTES bytes"))
                request.connection().close()
            }
        }
        request.endHandler { end.complete(Unit) }
        request.exceptionHandler { end.completeExceptionally(IOException(it.message)) }
        end.await()
        return buffered
    }

    /** Compresses large replies with gzip: a plan of hundreds of routes shrinks to a tenth of its size. */
    private fun compress(text: String): ByteArray {
        val uncompressed = text.encodeToByteArray()
        if (uncompressed.size < COMPRESSION_THRESHOLD_BYTES) return uncompressed
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { it.write(uncompressed) }
        return bytes.toByteArray()
    }

    private fun decompress(bytes: ByteArray): String {
        val isCompressed = bytes.size > 1 && bytes[0] == GZIP_FIRST_BYTE
        if (!isCompressed) return bytes.decodeToString()
        val uncompressed = GZIPInputStream(bytes.inputStream()).readNBytes(MAXIMUM_BODY_BYTES + 1)
        if (uncompressed.size > MAXIMUM_BODY_BYTES) throw IOException("the reply unpacks to more than $MAXIMUM_BODY_BYTES bytes")
        return uncompressed.decodeToString()
    }

    /** Leaves out the excerpt of the message, which may hold digests of keys. */
    private fun describe(exception: IllegalArgumentException): String? = exception.message?.substringBefore("\nJSON input")

    private companion object {
        /** Smaller replies gain nothing from compression. */
        const val COMPRESSION_THRESHOLD_BYTES = 1024

        /** Several times the records of a large fleet, and a small part of the heap. */
        const val MAXIMUM_BODY_BYTES = 8_388_608

        /** The first byte of every gzip stream; no JSON text begins with it. */
        const val GZIP_FIRST_BYTE: Byte = 0x1f
        const val PATH = "/exchange"
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        val log by lazy { LogManager.getLogger(PeerExchange::class.java) }

        /** Ignores unknown fields, since peers may run a newer release that sends more of them. */
        val json = Json { ignoreUnknownKeys = true }
    }
}
