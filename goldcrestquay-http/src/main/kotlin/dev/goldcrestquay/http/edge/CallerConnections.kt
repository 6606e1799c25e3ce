package dev.goldcrestquay.http.edge

import dev.goldcrestquay.callers.CallerTable
import dev.goldcrestquay.callers.TurnAwayReason
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent
import io.vertx.core.http.HttpConnection
import io.vertx.core.net.impl.ConnectionBase

/** Watches what callers send over their connections, and reports it to [table]. */
internal class CallerConnections(
    private val table: CallerTable<Channel>,
) {
    /** Watches [connection], which was just opened. */
    fun watch(connection: HttpConnection) {
        val channel = (connection as ConnectionBase).channel()
        val watch = ConnectionWatch(channel)
        channel.config().setRecvByteBufAllocator(READ_SIZES)
        channel.pipeline().addFirst(watch.bytes).addBefore(VERTX_HANDLER, null, watch.messages)
        table.add(channel)
    }

    private inner class ConnectionWatch(
        private val channel: Channel,
    ) {
        private var isInBody = false
        private var hasHeadBegun = false
        private var emptyBytes = 0

        /** Passes on what arrives in small parts, so that the end of a head is seen before what follows it. */
        val bytes =
            object : ChannelInboundHandlerAdapter() {
                override fun channelRead(
                    context: ChannelHandlerContext,
                    message: Any,
                ) {
                    val received = message as ByteBuf
                    try {
                        table.recordProgress(channel)
                        while (received.isReadable && channel.isActive) passPart(context, received)
                    } finally {
                        received.release()
                    }
                }
            }

        private fun passPart(
            context: ChannelHandlerContext,
            received: ByteBuf,
        ) {
            val part = nextPart(context, received, if (isInBody) BODY_PART_BYTES else HEAD_PART_BYTES)
            val lines = if (isInBody) 0 else countHeadLines(part)
            if (!isInBody && hasHeadBegun) table.holdHead(channel, part.readableBytes(), lines)
            if (emptyBytes > MAXIMUM_EMPTY_BYTES) table.turnAway(channel, TurnAwayReason.EMPTY_LINES)
            if (channel.isActive) context.fireChannelRead(part) else part.release()
        }

        /** The last part is a copy, since the decoder keeps it until more arrives, and a part would keep all that was read with it. */
        private fun nextPart(
            context: ChannelHandlerContext,
            received: ByteBuf,
            size: Int,
        ): ByteBuf {
            val left = received.readableBytes()
            return if (left > size) received.readRetainedSlice(size) else context.alloc().heapBuffer(left).writeBytes(received)
        }

        /** The line ends in [part] of a head, whose first line may follow empty ones. */
        private fun countHeadLines(part: ByteBuf): Int {
            var lines = 0
            for (index in part.readerIndex() until part.writerIndex()) {
                val byte = part.getByte(index)
                if (byte > SPACE) hasHeadBegun = true
                if (!hasHeadBegun) emptyBytes++
                if (byte == LINE_FEED) lines++
            }
            return lines
        }

        /** Sees the requests and responses that the HTTP codec decodes and encodes, and joins small chunks of a body. */
        val messages =
            object : ChannelDuplexHandler() {
                private var joined: ByteBuf? = null

                override fun channelRead(
                    context: ChannelHandlerContext,
                    message: Any,
                ) {
                    if (message is HttpContent && message !is LastHttpContent && message.content().readableBytes() < SMALL_CHUNK_BYTES) {
                        return join(context, message)
                    }
                    passJoined(context)
                    if (message is HttpRequest) beginRequest()
                    if (message is LastHttpContent) endBody()
                    context.fireChannelRead(message)
                }

                private fun join(
                    context: ChannelHandlerContext,
                    chunk: HttpContent,
                ) {
                    val bytes = joined ?: context.alloc().heapBuffer(BODY_PART_BYTES).also { joined = it }
                    bytes.writeBytes(chunk.content())
                    chunk.release()
                    if (bytes.readableBytes() >= BODY_PART_BYTES) passJoined(context)
                }

                private fun passJoined(context: ChannelHandlerContext) {
                    val bytes = joined ?: return
                    joined = null
                    context.fireChannelRead(DefaultHttpContent(bytes))
                }

                /** Called once the channel has left its event loop, which held all of its memory until then. */
                override fun handlerRemoved(context: ChannelHandlerContext) {
                    joined?.release()
                    joined = null
                    table.remove(channel)
                }

                override fun channelReadComplete(context: ChannelHandlerContext) {
                    passJoined(context)
                    context.fireChannelReadComplete()
                }

                override fun write(
                    context: ChannelHandlerContext,
                    message: Any,
                    promise: ChannelPromise,
                ) {
                    val isInformational = message is HttpResponse && message.status().codeClass() == HttpStatusClass.INFORMATIONAL
                    if (message is LastHttpContent && !isInformational) table.endRequest(channel)
                    context.write(message, promise)
                }
            }

        private fun beginRequest() {
            isInBody = true
            table.beginRequest(channel)
        }

        private fun endBody() {
            isInBody = false
            hasHeadBegun = false
            emptyBytes = 0
            table.endBody(channel)
        }
    }

    private companion object {
        /** The name of Vert.x's own handler in the pipeline of a connection. */
        const val VERTX_HANDLER = "handler"

        /** The bytes that are read from a socket at once, and how often before other connections have their turn. */
        const val READ_BYTES = 16_384
        const val READS_PER_TURN = 4
        val READ_SIZES: RecvByteBufAllocator = FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(READS_PER_TURN)

        /** The decoder keeps every part of a head, and may see the beginning of a head in the last part of a body. */
        const val HEAD_PART_BYTES = 1_024
        const val BODY_PART_BYTES = 4_096

        /** Chunks below this size are joined before they are handled one by one. */
        const val SMALL_CHUNK_BYTES = 512

        /** HTTP asks servers to bear one empty line before a request. */
        const val MAXIMUM_EMPTY_BYTES = 1_024

        const val SPACE: Byte = 0x20
        const val LINE_FEED: Byte = 0x0a
    }
}
