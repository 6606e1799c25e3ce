package dev.goldcrestquay.http.edge

import io.netty.channel.socket.nio.NioSocketChannel
import java.io.IOException
import java.nio.ByteBuffer

/** A client's socket channel that also tells whether something has arrived that the event loop has not read yet. */
internal class OriginChannel : NioSocketChannel() {
    private val probe = ByteBuffer.allocate(1)

    /**
     * Whether bytes, or the end of the connection, have arrived and were not read.
     *
     * Takes a byte that has arrived, so that the channel must be closed then. Must be called on the event loop.
     */
    fun hasUnreadInput(): Boolean =
        try {
            javaChannel().read(probe.clear()) != 0
        } catch (_: IOException) {
            true
        }
}
