package dev.goldcrestquay.http.edge

import dev.goldcrestquay.machine.SocketAddress
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.time.Duration

/** The connection could not be opened, or failed during an exchange; the other side may have received the request. */
internal class OriginException(
    message: String,
) : IOException(message)

/**
 * An HTTP/1.1 client connection that carries one request at a time; confined to its event loop.
 *
 * A response that does not belong to the pending request, such as a second response to an earlier one, is skipped. Bytes that follow a
 * complete response before the next request close the connection, since the beginning of a late response would change the next one.
 */
internal class OriginConnection(
    val address: SocketAddress,
    private val channel: OriginChannel,
    private val memory: ResponseMemory,
) : ChannelInboundHandlerAdapter() {
    private val decoder = ResponseDecoder()
    private var currentReply: OriginReply? = null
    private var isSkipping = false
    private var skippedHeads = 0
    private var wasReset = false
    private var isClosed = false

    /** When the connection last became idle, on the pool's clock. */
    var idleSince = Duration.ZERO

    /** Whether another request may be sent, as far as is known; see [isReady]. */
    val isUsable: Boolean get() = channel.isActive && !isClosed && currentReply == null

    /**
     * Whether another request may be sent now.
     *
     * Looks at the socket too, since a late event loop has not read what arrived meanwhile, and closes the connection if there is anything.
     */
    fun isReady(): Boolean {
        if (isUsable && channel.hasUnreadInput()) close()
        return isUsable
    }

    /**
     * Sends [request] and returns the first response whose head [accepts] takes; its body may still be arriving.
     *
     * Throws [OriginException] when the connection fails first. Cancellation closes the connection.
     */
    suspend fun send(
        request: FullHttpRequest,
        accepts: (HttpResponse) -> Boolean,
    ): OriginReply {
        check(isUsable) { "the connection to $address is busy or closed" }
        val reply = OriginReply(this, memory, accepts)
        currentReply = reply
        decoder.isHeadRequest = request.method() == HttpMethod.HEAD
        skippedHeads = 0
        reply.writeFuture = channel.writeAndFlush(request)
        reply.writeFuture.addListener { if (!it.isSuccess) fail("the request could not be written: ${it.cause()?.message}") }
        try {
            reply.awaitHead()
        } catch (exception: CancellationException) {
            close()
            reply.release()
            throw exception
        }
        return reply
    }

    /** Closes the connection at once. */
    fun close() {
        isClosed = true
        channel.close()
    }

    /** Resumes reading from the socket, or pauses it so that TCP flow control slows the sender. */
    fun setAutoRead(enabled: Boolean) {
        channel.config().isAutoRead = enabled
    }

    /** Adds the handlers of this connection to its channel. */
    fun addHandlers() {
        channel.pipeline().addLast(ReceiveGuard(), decoder, HttpRequestEncoder(), this)
    }

    /** Closes the connection when bytes arrive while no request is pending, or too many before the response. */
    private inner class ReceiveGuard : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            val bytes = message as ByteBuf
            try {
                while (!isClosed && bytes.isReadable) decode(context, bytes)
            } finally {
                bytes.release()
            }
        }

        /** Passes on [bytes], in small parts until the head has come, since the decoder keeps every part of a head. */
        private fun decode(
            context: ChannelHandlerContext,
            bytes: ByteBuf,
        ) {
            val reply = currentReply
            when {
                reply == null -> return this@OriginConnection.close()
                reply.bytesBeforeHead > maximumBytesBeforeHead() -> return fail("too many bytes before the response")
            }
            val size = if (reply.hasHead) bytes.readableBytes() else minOf(bytes.readableBytes(), HEAD_PART_BYTES)
            reply.onBytesReceived(size)
            context.fireChannelRead(bytes.readRetainedSlice(size))
        }
    }

    private fun maximumBytesBeforeHead(): Int = if (memory.isScarce) MAXIMUM_SCARCE_BYTES_BEFORE_HEAD else MAXIMUM_BYTES_BEFORE_HEAD

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (message is HttpObject) read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        if (isClosed) return
        if (message.decoderResult().isFailure) return fail("the response is not valid HTTP: ${message.decoderResult().cause().message}")
        if (message is HttpResponse) readHead(message)
        if (message is HttpContent) readContent(message)
    }

    private fun readHead(head: HttpResponse) {
        val reply = currentReply
        when {
            reply == null -> close()
            head.containsStatusLine() -> fail("the response begins within the head of another")
            head.status().codeClass() == HttpStatusClass.INFORMATIONAL || !reply.accepts(head) -> skip()
            else -> reply.onHead(head)
        }
    }

    /** Begins to skip a response, unless too many were skipped already: a faulty process may send them without end. */
    private fun skip() {
        isSkipping = true
        if (++skippedHeads > MAXIMUM_SKIPPED_HEADS) fail("more than $MAXIMUM_SKIPPED_HEADS responses that belong to no request")
    }

    private fun readContent(content: HttpContent) {
        val isLast = content is LastHttpContent
        val reply = currentReply
        if (isSkipping || reply == null) {
            if (isLast) isSkipping = false
            return
        }
        if (content.content().isReadable) reply.onChunk(content.content())
        if (!isLast) return
        if (wasReset) return fail("the connection was reset during the response")
        currentReply = null
        // A response that arrives before its request is fully written leaves bytes of the request unsent.
        val isWritten = reply.writeFuture.isSuccess
        val isReusable = isWritten && HttpUtil.isKeepAlive(reply.head) && reply.isFramed && decoder.undecodedBytes == 0
        if (!isReusable) close()
        reply.onEnd()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail("the connection closed")
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        wasReset = true
        fail("the connection failed: ${cause.message}")
    }

    private fun fail(message: String) {
        close()
        val reply = currentReply ?: return
        currentReply = null
        reply.onFailure(OriginException(message))
    }

    private companion object {
        /** A request gets a few informational responses and at most one late response to the request before it. */
        const val MAXIMUM_SKIPPED_HEADS = 16

        /** The bytes of late responses before the one that is awaited; larger than most responses. */
        const val MAXIMUM_BYTES_BEFORE_HEAD = 1_048_576

        /** The same while memory is scarce: several times a usual head. */
        const val MAXIMUM_SCARCE_BYTES_BEFORE_HEAD = 2_048

        /** The bytes that are decoded at once until the head has come: more than a usual head. */
        const val HEAD_PART_BYTES = 1_024
    }
}

/** Whether the head broke off within its reason phrase or a header, so that the status line of the next response became part of it. */
private fun HttpResponse.containsStatusLine(): Boolean =
    status().reasonPhrase().containsStatusLine() || headers().any { it.value.containsStatusLine() }

private fun String.containsStatusLine(): Boolean = contains("HTTP/1.") && STATUS_LINE.containsMatchIn(this)

private val STATUS_LINE = Regex("""HTTP/1\.[01] \d{3}( |$)""")

/** Decodes the responses of one connection. */
private class ResponseDecoder : HttpResponseDecoder(HttpDecoderConfig().setMaxHeaderSize(HEADER_LIMIT_BYTES)) {
    /** Whether the response answers a `HEAD` request, and so has no body. */
    var isHeadRequest = false

    /** The bytes received after the message that was decoded last. */
    val undecodedBytes: Int get() = actualReadableBytes()

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = isHeadRequest || super.isContentAlwaysEmpty(message)

    /** Rejects a status that no response can have, such as 000, which the decoder would take for one. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        require(initialLine[1].matches(VALID_STATUS)) { "the status is not valid: ${initialLine[1]}" }
        return super.createMessage(initialLine)
    }

    private companion object {
        const val HEADER_LIMIT_BYTES = 65_536

        /** The five classes of status codes that HTTP has. */
        val VALID_STATUS = Regex("[1-5][0-9]{2}")
    }
}

/**
 * The response to one request. Its body is read piece by piece; the connection stops reading while too many bytes lie unread.
 *
 * @property accepts whether a response with the given head belongs to the request.
 */
internal class OriginReply(
    private val connection: OriginConnection,
    private val memory: ResponseMemory,
    val accepts: (HttpResponse) -> Boolean,
) {
    private val headReceived = CompletableDeferred<Unit>()

    /** The status and headers; set once [awaitHead] has returned. */
    lateinit var head: HttpResponse
        private set

    /** Completes when the request is written to the socket. */
    lateinit var writeFuture: ChannelFuture

    /** The bytes that have arrived on the connection since the request was sent; 0 once the head has. */
    var bytesBeforeHead = 0
        private set

    /** Whether [head] is set. */
    val hasHead: Boolean get() = headReceived.isCompleted

    /** Copied out of the received buffers, which may be much larger than a chunk in them. */
    private val unread = ByteArrayOutputStream()
    private var heldBytes = 0
    private var failure: OriginException? = null
    private var isComplete = false
    private var nextChunk: CompletableDeferred<Unit>? = null

    /** Whether the head tells where the body ends; otherwise only closing the connection ends it. */
    val isFramed: Boolean
        get() =
            head.let {
                HttpUtil.isContentLengthSet(it) || HttpUtil.isTransferEncodingChunked(it) || it.status().code() in BODILESS_STATUSES
            }

    /** Waits for the head; throws [OriginException] when the connection fails first. */
    suspend fun awaitHead() {
        headReceived.await()
    }

    /** The next part of the body, or null at its end; throws [OriginException] when the response is truncated. */
    suspend fun read(): ByteArray? {
        while (unread.size() == 0) {
            failure?.let { throw it }
            if (isComplete) return null
            val arrival = CompletableDeferred<Unit>()
            nextChunk = arrival
            try {
                arrival.await()
            } catch (exception: CancellationException) {
                abandon()
                throw exception
            }
        }
        val bytes = unread.toByteArray()
        release()
        connection.setAutoRead(true)
        return bytes
    }

    /** Discards the rest of the body and closes the connection. */
    fun abandon() {
        connection.close()
        release()
    }

    /** Counts [bytes] that have arrived on the connection. */
    fun onBytesReceived(bytes: Int) {
        if (hasHead) return
        bytesBeforeHead += bytes
        holdOnly(minOf(bytesBeforeHead, MAXIMUM_COUNTED_HEAD_BYTES) * HEAD_OVERHEAD)
    }

    fun onHead(newHead: HttpResponse) {
        head = newHead
        bytesBeforeHead = 0
        holdOnly(0)
        headReceived.complete(Unit)
    }

    fun onChunk(chunk: ByteBuf) {
        chunk.readBytes(unread, chunk.readableBytes())
        holdOnly(unread.size())
        if (unread.size() >= UNREAD_LIMIT_BYTES || memory.isScarce) connection.setAutoRead(false)
        wakeReader()
    }

    fun onEnd() {
        isComplete = true
        wakeReader()
    }

    fun onFailure(cause: OriginException) {
        failure = cause
        headReceived.completeExceptionally(cause)
        release()
        wakeReader()
    }

    /** Discards what was received and not read. */
    fun release() {
        unread.reset()
        holdOnly(0)
    }

    private fun holdOnly(bytes: Int) {
        memory.hold(bytes - heldBytes)
        heldBytes = bytes
    }

    private fun wakeReader() {
        nextChunk?.complete(Unit)
        nextChunk = null
    }

    private companion object {
        /** The connection stops reading from the socket while this many bytes lie unread. */
        const val UNREAD_LIMIT_BYTES = 65_536

        /** The memory that a decoded head takes at most for each of its bytes: the shortest header line of 4 bytes becomes five objects. */
        const val HEAD_OVERHEAD = 48

        /** The longest head; what exceeds it belongs to skipped responses, which are not kept. */
        const val MAXIMUM_COUNTED_HEAD_BYTES = 65_536

        val BODILESS_STATUSES = setOf(204, 304)
    }
}
