package dev.goldcrestquay.http.edge

import dev.goldcrestquay.callers.BodyMemory
import dev.goldcrestquay.contract.ResultCode
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.internal.buffer.BufferInternal
import kotlinx.coroutines.CompletableDeferred

/**
 * Reads the bodies of requests.
 *
 * @param onNoMemory is called for each body that is refused or ended because there is no memory for it.
 */
internal class RequestBodyReader(
    private val memory: BodyMemory,
    private val onNoMemory: () -> Unit,
) {
    /** A body that may still be arriving; [release] ends it. */
    inner class Reading(
        private val request: HttpServerRequest,
    ) {
        private val refusal = CompletableDeferred<ResultCode?>()
        private val length = request.getHeader("content-length")?.toLongOrNull() ?: 0
        private val isChunked = request.getHeader("transfer-encoding") != null

        /** What has arrived of the body. */
        val body =
            RequestBody(memory, isLarge = isChunked || length > RequestBody.LARGE_BODY_BYTES) { refusal.complete(ResultCode.OVERLOADED) }

        /**
         * Reads the body up to its end and returns null, or the reason why it is refused: it has more than [maximum] bytes, or there is
         * no memory for it. [onBroken] is called when it breaks off.
         */
        suspend fun await(
            maximum: Long,
            onBroken: () -> Unit,
        ): ResultCode? {
            val code = read(maximum, onBroken)
            if (code == null) body.complete() else body.release()
            if (code == ResultCode.OVERLOADED) onNoMemory()
            return code
        }

        private suspend fun read(
            maximum: Long,
            onBroken: () -> Unit,
        ): ResultCode? {
            if (length == 0L && !isChunked) return null
            if (length > maximum) return ResultCode.BODY_TOO_LARGE
            if (!body.canHold(length)) return ResultCode.OVERLOADED
            request.handler { chunk ->
                when {
                    refusal.isCompleted -> Unit
                    body.size + chunk.length() > maximum -> refusal.complete(ResultCode.BODY_TOO_LARGE)
                    !body.append((chunk as BufferInternal).byteBuf) -> refusal.complete(ResultCode.OVERLOADED)
                }
            }
            request.endHandler { refusal.complete(null) }
            request.exceptionHandler { onBroken() }
            return refusal.await()
        }

        /** Frees the memory of the body. */
        fun release() = body.release()
    }
}
