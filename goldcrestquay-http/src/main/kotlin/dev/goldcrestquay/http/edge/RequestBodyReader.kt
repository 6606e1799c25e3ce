package dev.goldcrestquay.http.edge

import dev.goldcrestquay.callers.BodyMemory
import dev.goldcrestquay.contract.ResultCode
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
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
        private var body: RequestBody? = null

        /** The complete body; valid until [release]. */
        val content: ByteBuf get() = body?.content ?: Unpooled.EMPTY_BUFFER

        /**
         * Reads the body up to its end and returns null, or the reason why it is refused: it has more than [maximum] bytes, or there is
         * no memory for it. [onBroken] is called when it breaks off.
         */
        suspend fun await(
            maximum: Long,
            onBroken: () -> Unit,
        ): ResultCode? {
            val length = request.getHeader("content-length")?.toLongOrNull() ?: 0
            val isChunked = request.getHeader("transfer-encoding") != null
            if (length == 0L && !isChunked) return null
            if (length > maximum) return ResultCode.BODY_TOO_LARGE
            val body = RequestBody(memory, isChunked || length > RequestBody.LARGE_BODY_BYTES) { refusal.complete(ResultCode.OVERLOADED) }
            this.body = body
            val code = if (body.canHold(length)) read(body, maximum, onBroken) else ResultCode.OVERLOADED
            if (code != null) body.release()
            if (code == ResultCode.OVERLOADED) onNoMemory()
            return code
        }

        private suspend fun read(
            body: RequestBody,
            maximum: Long,
            onBroken: () -> Unit,
        ): ResultCode? {
            request.handler { chunk ->
                when {
                    refusal.isCompleted -> Unit
                    body.size + chunk.length() > maximum -> refusal.complete(ResultCode.BODY_TOO_LARGE)
                    !body.append((chunk as BufferInternal).byteBuf) -> refusal.complete(ResultCode.OVERLOADED)
                }
            }
            request.endHandler {
                // The completion may resume the reader at once, which then uses the body.
                if (!refusal.isCompleted) body.complete()
                refusal.complete(null)
            }
            request.exceptionHandler { onBroken() }
            return refusal.await()
        }

        /** Frees the memory of the body. */
        fun release() {
            body?.release()
        }
    }
}
