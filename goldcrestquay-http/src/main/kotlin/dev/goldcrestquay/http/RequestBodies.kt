package dev.goldcrestquay.http

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CompletableDeferred
import java.io.IOException

private const val MAXIMUM_BUFFERED_BYTES = 65_536L
private const val MAXIMUM_BUFFERED_BYTES_WITHOUT_LENGTH = 1_048_576L

/**
 * Reads the body of a paused request.
 *
 * A body of at most 64 KiB is buffered, so that it can be sent again; a larger one is streamed. A body without a content length is
 * always buffered and limited to 1 MiB. Returns null when the body is over [maximumBytes] or that limit.
 */
internal suspend fun HttpServerRequest.readBody(maximumBytes: Long): RequestBody? {
    val length = getHeader("content-length")?.toLongOrNull()
    val chunked = getHeader("transfer-encoding") != null
    return when {
        length == null && !chunked -> RequestBody.Buffered(Buffer.buffer()).also { resume() }
        length == null -> readBuffered(minOf(maximumBytes, MAXIMUM_BUFFERED_BYTES_WITHOUT_LENGTH))
        length > maximumBytes -> null
        length <= MAXIMUM_BUFFERED_BYTES -> RequestBody.Buffered(body().also { resume() }.coAwait())
        else -> RequestBody.Streamed(this, length)
    }
}

private suspend fun HttpServerRequest.readBuffered(maximumBytes: Long): RequestBody? {
    val buffered = Buffer.buffer()
    val received = CompletableDeferred<RequestBody?>()
    handler { chunk ->
        if (buffered.length() + chunk.length() > maximumBytes) received.complete(null) else buffered.appendBuffer(chunk)
    }
    endHandler { received.complete(RequestBody.Buffered(buffered)) }
    exceptionHandler { received.completeExceptionally(IOException("the request body was not received completely", it)) }
    resume()
    return received.await()
}
