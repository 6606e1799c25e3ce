package dev.goldcrestquay.http.edge

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.machine.SocketAddress
import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Opens connections to other processes and pools idle ones by address; confined to one event loop. */
internal class OriginPool(
    private val eventLoop: EventLoop,
    private val clock: Clock,
) {
    /** The bytes of responses that are held for all requests of this entry VM. */
    val memory = ResponseMemory()

    private val idle = HashMap<SocketAddress, ArrayDeque<OriginConnection>>()
    private val idleTimeouts = HashMap<SocketAddress, Duration>()

    /** Removes and returns an idle connection to [address] that is within its idle timeout, or null when there is none. */
    fun takeIdle(address: SocketAddress): OriginConnection? {
        val connections = idle[address] ?: return null
        val oldestIdleSince = clock() - (idleTimeouts[address] ?: DEFAULT_IDLE_TIMEOUT)
        while (true) {
            val connection = connections.removeLastOrNull() ?: return null
            if (connection.idleSince >= oldestIdleSince && connection.isReady()) return connection
            connection.close()
        }
    }

    /** An idle connection to [address], or a new one; throws [OriginException] when it cannot be opened. */
    suspend fun take(address: SocketAddress): OriginConnection = takeIdle(address) ?: open(address)

    /** Returns [connection] to the pool, or closes it when it cannot be reused. */
    fun release(connection: OriginConnection) {
        if (!connection.isUsable) return connection.close()
        connection.idleSince = clock()
        idle.getOrPut(connection.address) { ArrayDeque() }.addLast(connection)
    }

    /** Records that the process at [address] closes idle connections after [duration]. */
    fun setIdleTimeout(
        address: SocketAddress,
        duration: Duration,
    ) {
        idleTimeouts[address] = duration * IDLE_TIMEOUT_SHARE
    }

    /** Closes idle connections past their idle timeout, and drops addresses that have no idle connection left. */
    fun sweep() {
        val now = clock()
        idle.entries.removeIf { (address, connections) ->
            val oldestIdleSince = now - (idleTimeouts[address] ?: DEFAULT_IDLE_TIMEOUT)
            connections.removeIf { connection ->
                val isExpired = !connection.isUsable || connection.idleSince < oldestIdleSince
                if (isExpired) connection.close()
                isExpired
            }
            connections.isEmpty()
        }
        idleTimeouts.keys.retainAll(idle.keys)
    }

    /** Opens a connection to [address]; throws [OriginException] when that fails or takes longer than [CONNECT_TIMEOUT]. */
    suspend fun open(address: SocketAddress): OriginConnection {
        val result = CompletableDeferred<OriginConnection>()
        val bootstrap =
            Bootstrap()
                .group(eventLoop)
                .channelFactory(::OriginChannel)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                    ChannelOption.RECVBUF_ALLOCATOR,
                    AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES),
                ).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
                .handler(ConnectionInitializer(address, memory, result))
        val future = bootstrap.connect(InetSocketAddress(address.host, address.port))
        future.addListener {
            if (!it.isSuccess) result.completeExceptionally(OriginException("cannot connect to $address: ${it.cause()?.message}"))
        }
        try {
            return result.await()
        } catch (exception: CancellationException) {
            future.cancel(false)
            future.channel().close()
            throw exception
        }
    }

    private class ConnectionInitializer(
        private val address: SocketAddress,
        private val memory: ResponseMemory,
        private val result: CompletableDeferred<OriginConnection>,
    ) : ChannelInitializer<OriginChannel>() {
        override fun initChannel(channel: OriginChannel) {
            val connection = OriginConnection(address, channel, memory)
            connection.addHandlers()
            channel.pipeline().addLast(ActivationHandler { result.complete(connection) })
        }
    }

    private companion object {
        /** The idle timeout for processes that announce none in a Keep-Alive header. */
        val DEFAULT_IDLE_TIMEOUT = 8.seconds

        /** The bytes that are read from a socket at once; a connection that is to stop reading may exceed its limit by so many. */
        const val MINIMUM_READ_BYTES = 512
        const val INITIAL_READ_BYTES = 2_048
        const val MAXIMUM_READ_BYTES = 16_384

        /** The share of an announced idle timeout that is used, since the other side starts counting earlier. */
        const val IDLE_TIMEOUT_SHARE = 0.8

        /**
         * A round trip between data centres takes a few milliseconds. A server whose accept queue is full drops the SYN packet,
         * which is retransmitted only after a second.
         */
        val CONNECT_TIMEOUT = 500.milliseconds
    }
}

/** Calls [onActive] once the channel is connected. */
private class ActivationHandler(
    private val onActive: () -> Unit,
) : ChannelInboundHandlerAdapter() {
    override fun channelActive(context: ChannelHandlerContext) {
        onActive()
        context.fireChannelActive()
    }
}
