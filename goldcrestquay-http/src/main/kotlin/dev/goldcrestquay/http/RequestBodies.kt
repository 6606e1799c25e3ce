package dev.goldcrestquay.http

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CompletableDeferred
import java.io.IOException

private const val KEPT_BYTES = 65_536L
private const val KEPT_BYTES_WITHOUT_LENGTH = 1_048_576L

/**
 * Reads the body of a paused request: small ones are kept so that they can be sent again, large ones are streamed.
 *
 * Returns null when the body is over [maximumBytes]; a body that does not state its length is kept and bounded to 1 MiB.
 */
internal suspend fun HttpServerRequest.readBody(maximumBytes: Long): RequestBody? {
    val length = getHeader("content-length")?.toLongOrNull()
    val chunked = getHeader("transfer-encoding") != null
    return when {
        length == null && !chunked -> RequestBody.Kept(Buffer.buffer()).also { resume() }
        length == null -> readBounded(minOf(maximumBytes, KEPT_BYTES_WITHOUT_LENGTH))
        length > maximumBytes -> null
        length <= KEPT_BYTES -> RequestBody.Kept(body().also { resume() }.coAwait())
        else -> RequestBody.Streamed(this, length)
    }
}

private suspend fun HttpServerRequest.readBounded(maximumBytes: Long): RequestBody? {
    val kept = Buffer.buffer()
    val done = CompletableDeferred<RequestBody?>()
    handler { chunk ->
        if (kept.length() + chunk.length() > maximumBytes) done.complete(null) else kept.appendBuffer(chunk)
    }
    endHandler { done.complete(RequestBody.Kept(kept)) }
    exceptionHandler { done.completeExceptionally(IOException("the request body broke off", it)) }
    resume()
    return done.await()
}
