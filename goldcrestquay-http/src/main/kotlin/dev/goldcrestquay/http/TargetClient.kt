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
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.core.streams.ReadStream
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException

/** The body of a request on its way to a target. */
sealed interface RequestBody {
    /** A body kept in memory, which can be sent again. */
    data class Kept(
        val bytes: Buffer,
    ) : RequestBody

    /** A body read from the caller as it comes; it can be sent once. */
    class Streamed(
        val stream: ReadStream<Buffer>,
        val length: Long,
    ) : RequestBody
}

/** A request as it goes to whichever target is chosen. */
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
            PoolOptions().setHttp1MaxSize(POOL_SIZE).setMaxWaitQueueSize(0),
        )

    /**
     * Sends one attempt; a failure before the first byte proves that the call did not run.
     *
     * Whatever else goes wrong, malformed answers included, leaves it open whether the call ran.
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
            val response = clientRequest.transmit(request.body)
            response.pause()
            toResult(response)
        } catch (exception: CancellationException) {
            clientRequest.reset(CANCEL)
            throw exception
        } catch (_: Exception) {
            SendResult.Broken()
        }
    }

    /** Asks [target] for its load. */
    suspend fun probe(target: Target): Result<LoadReport, LinkFailure> {
        val options = RequestOptions().setMethod(HttpMethod.GET).setTarget(target).setURI(LOAD_PATH)
        return try {
            val header =
                client
                    .request(options)
                    .compose { it.send() }
                    .compose(::wholeLoadReport)
                    .coAwait()
            TargetHeaders.parseLoadReport(header)?.let { Ok(it) } ?: Err(LinkFailure.REPLY_LOST)
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            Err(LinkFailure.UNREACHABLE)
        }
    }

    /** The report's header once the body is through; composed, since the probe does not run on the connection's event loop. */
    private fun wholeLoadReport(response: HttpClientResponse): Future<String?> =
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

    private suspend fun HttpClientRequest.transmit(body: RequestBody): HttpClientResponse =
        when (body) {
            is RequestBody.Kept -> send(body.bytes).coAwait()
            is RequestBody.Streamed -> putHeader("content-length", body.length.toString()).send(body.stream).coAwait()
        }

    private suspend fun toResult(response: HttpClientResponse): SendResult<HttpClientResponse> {
        val report = TargetHeaders.parseLoadReport(response.getHeader(CallHeaders.LOAD_REPORT))
        val refusal = TargetHeaders.parseRefusal(response.getHeader(CallHeaders.NOT_RUN))
        if (refusal == null) return SendResult.Replied(response, response.statusCode() >= FIRST_SERVER_ERROR, report)
        response.resume()
        response.body().coAwait()
        return SendResult.Refused(refusal, report)
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLISECONDS = 1000
        const val KEEP_ALIVE_SECONDS = 60
        const val POOL_SIZE = 256
        const val FIRST_SERVER_ERROR = 500
        const val CANCEL = 8L
        const val LOAD_PATH = "/load"
    }
}
