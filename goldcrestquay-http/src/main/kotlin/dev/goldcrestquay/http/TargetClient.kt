package dev.goldcrestquay.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import dev.goldcrestquay.contract.Target
import dev.goldcrestquay.link.Attempt
import dev.goldcrestquay.link.LinkFailure
import dev.goldcrestquay.link.LoadReport
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpVersion
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.core.streams.ReadStream
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException

/** A request body that is forwarded to a target. */
sealed interface RequestBody {
    /** A body held in memory, which can be sent more than once. */
    data class Buffered(
        val bytes: Buffer,
    ) : RequestBody

    /**
     * A body streamed from the caller, which can be sent only once.
     *
     * @property length the length in bytes.
     */
    class Streamed(
        val stream: ReadStream<Buffer>,
        val length: Long,
    ) : RequestBody
}

/** A request to forward; it does not depend on the target that is chosen. */
class TargetRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: List<Pair<String, String>>,
    val body: RequestBody,
)

/** Sends calls and probes to targets over HTTP. */
class TargetClient(
    vertx: Vertx,
) {
    private val client =
        vertx.createHttpClient(
            HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS)
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                .setTcpNoDelay(true)
                .setDecompressionSupported(false),
            PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS_PER_TARGET).setMaxWaitQueueSize(0),
        )

    /**
     * Sends one attempt of a call to [target].
     *
     * A failure to get a connection proves that the call did not run. After any later failure, a malformed response included, the call
     * may have run.
     */
    suspend fun send(
        target: Target,
        attempt: Attempt,
        request: TargetRequest,
    ): SendResult<HttpClientResponse> {
        val clientRequest =
            try {
                client.request(options(target, attempt, request)).coAwait()
            } catch (exception: CancellationException) {
                throw exception
            } catch (_: Exception) {
                return SendResult.Refused(Refusal.CONNECTION_REFUSED)
            }
        return try {
            val written = clientRequest.transmit(request.body)
            val response = clientRequest.response().coAwait()
            response.pause()
            // A reset that ends the writing looks like the end of a body that only closing the connection ends.
            if (response.statusCode() in VALID_STATUSES && (response.isFramed || written.succeeded())) return toResult(response)
            clientRequest.reset()
            SendResult.Broken()
        } catch (exception: CancellationException) {
            clientRequest.reset(HTTP2_CANCEL_CODE)
            throw exception
        } catch (_: Exception) {
            SendResult.Broken()
        }
    }

    /**
     * Asks [target] for its load.
     *
     * Fails with [LinkFailure.REPLY_LOST] when the response has no valid load report, and with [LinkFailure.UNREACHABLE] when there is no
     * complete response.
     */
    suspend fun probe(target: Target): Result<LoadReport, LinkFailure> {
        val options = RequestOptions().setMethod(HttpMethod.GET).setTarget(target).setURI(LOAD_PATH)
        return try {
            val header =
                client
                    .request(options)
                    .compose { it.send() }
                    .compose(::receiveLoadReport)
                    .coAwait()
            TargetHeaders.parseLoadReport(header)?.let { Ok(it) } ?: Err(LinkFailure.REPLY_LOST)
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            Err(LinkFailure.UNREACHABLE)
        }
    }

    /**
     * Returns the load report header once the body has been received.
     *
     * This is composed onto the response future, since the probe does not run on the connection's event loop and a handler that is set
     * later could miss the body.
     */
    private fun receiveLoadReport(response: HttpClientResponse): Future<String?> =
        response.body().map { response.getHeader(CallHeaders.LOAD_REPORT) }

    private fun options(
        target: Target,
        attempt: Attempt,
        request: TargetRequest,
    ): RequestOptions {
        val options = RequestOptions().setMethod(request.method).setTarget(target).setURI(request.uri)
        request.headers.forEach { (name, value) -> options.addHeader(name, value) }
        options.putHeader(CallHeaders.DEADLINE, attempt.remaining.inWholeMilliseconds.toString())
        options.putHeader(CallHeaders.ATTEMPTS, attempt.attemptsLeft.coerceAtLeast(1).toString())
        return options
    }

    private fun RequestOptions.setTarget(target: Target): RequestOptions =
        setHost(target.address.substringBeforeLast(':')).setPort(target.address.substringAfterLast(':').toInt())

    /** Starts to write the request with [body]; the result succeeds once all of it is written. */
    private fun HttpClientRequest.transmit(body: RequestBody): Future<Void> =
        when (body) {
            is RequestBody.Buffered -> end(body.bytes)
            is RequestBody.Streamed -> body.stream.pipe().to(putHeader("content-length", body.length.toString()))
        }

    /** Whether the head tells where the body ends; HTTP/2 tells it without a header. */
    private val HttpClientResponse.isFramed: Boolean
        get() = version() == HttpVersion.HTTP_2 || getHeader("content-length") != null || getHeader("transfer-encoding") != null

    private suspend fun toResult(response: HttpClientResponse): SendResult<HttpClientResponse> {
        val report = TargetHeaders.parseLoadReport(response.getHeader(CallHeaders.LOAD_REPORT))
        val refusal = TargetHeaders.parseRefusal(response.getHeader(CallHeaders.NOT_RUN))
        if (refusal == null) return SendResult.Replied(response, response.statusCode() >= FIRST_SERVER_ERROR_STATUS, report)
        response.resume()
        response.body().coAwait()
        return SendResult.Refused(refusal, report)
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLISECONDS = 1000
        const val KEEP_ALIVE_SECONDS = 60

        /** When all are in use, an attempt fails at once instead of waiting, so that the call can go to another target. */
        const val MAXIMUM_CONNECTIONS_PER_TARGET = 256
        const val FIRST_SERVER_ERROR_STATUS = 500

        /** A response with any other status, such as 000, is none. */
        val VALID_STATUSES = 100..599

        /** The error code CANCEL of HTTP/2; over HTTP/1.1, a reset closes the connection. */
        const val HTTP2_CANCEL_CODE = 8L
        const val LOAD_PATH = "/load"
    }
}
