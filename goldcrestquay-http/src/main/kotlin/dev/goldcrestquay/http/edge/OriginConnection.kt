package dev.goldcrestquay.http.edge

import dev.goldcrestquay.machine.SocketAddress
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import java.io.IOException
import kotlin.time.Duration

/** An exchange over a connection broke; what was sent may have been received. */
internal class OriginFailure(
    message: String,
) : IOException(message)

/**
 * One HTTP/1.1 connection to another process, with one exchange at a time; confined to its event loop.
 *
 * An answer that does not belong to the request under way, such as a second answer to an earlier one, is skipped. Bytes that
 * arrive while no request is under way close the connection.
 */
internal class OriginConnection(
    val address: SocketAddress,
    private val channel: Channel,
) : ChannelInboundHandlerAdapter() {
    private var exchange: OriginReply? = null
    private var skipping = false
    private var reset = false
    private var spent = false

    /** When the connection became idle, on the pool's clock. */
    var idleSince = Duration.ZERO

    /** Whether another request may be sent. */
    val isUsable: Boolean get() = channel.isActive && !spent && exchange == null

    /** Sends [request] and returns the first answer that [accepts] takes for its own. */
    suspend fun send(
        request: FullHttpRequest,
        accepts: (HttpResponse) -> Boolean,
    ): OriginReply {
        check(isUsable) { "the connection to $address is busy or closed" }
        val reply = OriginReply(this, accepts)
        exchange = reply
        reply.written = channel.writeAndFlush(request)
        reply.written.addListener { if (!it.isSuccess) fail("the request could not be written: ${it.cause()?.message}") }
        try {
            reply.awaitHead()
        } catch (exception: CancellationException) {
            close()
            throw exception
        }
        return reply
    }

    /** Closes the connection at once. */
    fun close() {
        spent = true
        channel.close()
    }

    /** Lets the connection read on, or not. */
    fun reading(active: Boolean) {
        channel.config().isAutoRead = active
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            read(message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        if (message.decoderResult().isFailure) return fail("the answer is not HTTP: ${message.decoderResult().cause().message}")
        if (message is HttpResponse) readHead(message)
        if (message is HttpContent) readContent(message)
    }

    private fun readHead(head: HttpResponse) {
        val reply = exchange
        when {
            reply == null -> close()
            head.status().codeClass() == HttpStatusClass.INFORMATIONAL -> skipping = true
            !reply.accepts(head) -> skipping = true
            else -> reply.started(head)
        }
    }

    private fun readContent(content: HttpContent) {
        val isLast = content is LastHttpContent
        val reply = exchange
        if (skipping || reply == null) {
            if (isLast) skipping = false
            return
        }
        if (content.content().isReadable) reply.append(content.content().retain())
        if (!isLast) return
        if (reset) return fail("the connection was reset during the answer")
        exchange = null
        val complete = reply.written.isSuccess
        if (!complete || !HttpUtil.isKeepAlive(reply.head) || !reply.isFramed) close()
        reply.finished()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail("the connection closed")
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        reset = true
        fail("the connection broke: ${cause.message}")
    }

    private fun fail(message: String) {
        close()
        val reply = exchange ?: return
        exchange = null
        reply.failed(OriginFailure(message))
    }
}

/** The answer to one request; its body is read piece by piece, and the connection waits while pieces lie unread. */
internal class OriginReply(
    private val connection: OriginConnection,
    val accepts: (HttpResponse) -> Boolean,
) {
    private val begun = CompletableDeferred<Unit>()

    /** The answer's head, once it has come. */
    lateinit var head: HttpResponse
        private set

    /** The end of the request's sending. */
    lateinit var written: ChannelFuture

    private val pieces = ArrayDeque<ByteBuf>()
    private var queuedBytes = 0
    private var failure: OriginFailure? = null
    private var ended = false
    private var waiting: CompletableDeferred<Unit>? = null

    /** Whether the answer says where its body ends. */
    val isFramed: Boolean
        get() =
            head.let {
                HttpUtil.isContentLengthSet(it) || HttpUtil.isTransferEncodingChunked(it) || it.status().code() in BODILESS
            }

    /** Waits for the answer's head; throws when the exchange breaks. */
    suspend fun awaitHead() {
        begun.await()
    }

    /** The next piece of the body, or null at its end; throws when the answer breaks off. */
    suspend fun read(): ByteArray? {
        while (pieces.isEmpty()) {
            failure?.let { throw it }
            if (ended) return null
            val more = CompletableDeferred<Unit>()
            waiting = more
            try {
                more.await()
            } catch (exception: CancellationException) {
                abandon()
                throw exception
            }
        }
        val piece = pieces.removeFirst()
        queuedBytes -= piece.readableBytes()
        if (queuedBytes < QUEUE_LIMIT) connection.reading(true)
        return ByteArray(piece.readableBytes()).also {
            piece.readBytes(it)
            piece.release()
        }
    }

    /** Gives the rest of the answer up, which closes the connection unless all of it has come. */
    fun abandon() {
        if (!ended) connection.close()
        release()
    }

    fun started(newHead: HttpResponse) {
        head = newHead
        begun.complete(Unit)
    }

    fun append(piece: ByteBuf) {
        pieces += piece
        queuedBytes += piece.readableBytes()
        if (queuedBytes >= QUEUE_LIMIT) connection.reading(false)
        wake()
    }

    fun finished() {
        ended = true
        wake()
    }

    fun failed(cause: OriginFailure) {
        failure = cause
        begun.completeExceptionally(cause)
        release()
        wake()
    }

    private fun release() {
        pieces.forEach { it.release() }
        pieces.clear()
    }

    private fun wake() {
        waiting?.complete(Unit)
        waiting = null
    }

    private companion object {
        /** Bytes read ahead of the reader before the connection waits. */
        const val QUEUE_LIMIT = 262_144

        val BODILESS = setOf(204, 304)
    }
}
