package dev.goldcrestquay.http.edge

import dev.goldcrestquay.machine.ExchangeReply
import dev.goldcrestquay.machine.ExchangeRequest
import dev.goldcrestquay.machine.SocketAddress
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import java.io.IOException

/** The exchange of facts between entry VMs over HTTP. */
class PeerExchange(
    private val calls: JsonCalls,
    private val scope: CoroutineScope,
) {
    /** Asks the entry VM at [address]; null when it does not give a whole answer. */
    suspend fun ask(
        address: SocketAddress,
        request: ExchangeRequest,
    ): ExchangeReply? =
        try {
            val body = json.encodeToString(ExchangeRequest.serializer(), request).encodeToByteArray()
            val answer = calls.call(address, "POST", PATH, "application/json", body)
            if (answer.status == OK) json.decodeFromString(ExchangeReply.serializer(), answer.body.decodeToString()) else null
        } catch (_: IOException) {
            null
        } catch (exception: SerializationException) {
            log.warn("peer {} gave an answer that cannot be read: {}", address, exception.message)
            null
        }

    /** Answers a peer's call by [answer]. */
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
                    val asked = json.decodeFromString(ExchangeRequest.serializer(), request.body().coAwait().toString())
                    val reply = json.encodeToString(ExchangeReply.serializer(), answer(asked))
                    request.response().putHeader("Content-Type", "application/json").end(Buffer.buffer(reply))
                    return@launch
                } catch (exception: SerializationException) {
                    log.warn("a peer's call cannot be read: {}", exception.message)
                    BAD_REQUEST
                }
            request.response().setStatusCode(status).end()
        }
    }

    private companion object {
        const val PATH = "/exchange"
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        val log by lazy { LogManager.getLogger(PeerExchange::class.java) }

        /** Peers may run a newer release with further fields. */
        val json = Json { ignoreUnknownKeys = true }
    }
}
