package dev.goldcrestquay.http.edge

import dev.goldcrestquay.link.asClock
import dev.goldcrestquay.machine.SocketAddress
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.internal.ContextInternal
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** A server on loopback that answers each request with the bytes of a script, and a pool whose connections lead to it. */
internal class ScriptedServer : AutoCloseable {
    private val vertx = Vertx.vertx()
    private val poolContext = vertx.orCreateContext

    /** The context of the pool's event loop. */
    val dispatcher = poolContext.dispatcher()

    val pool = OriginPool((poolContext as ContextInternal).nettyEventLoop(), TimeSource.Monotonic.asClock())
    lateinit var address: SocketAddress
        private set

    /** The connections that the pool opened, in order. */
    val sockets = mutableListOf<NetSocket>()

    /** Runs [body] on the pool's event loop against a server that hands what it receives to [respond]. */
    fun test(
        respond: (NetSocket, String) -> Unit,
        body: suspend () -> Unit,
    ): Unit =
        runBlocking {
            withTimeout(20.seconds) {
                val server =
                    vertx
                        .createNetServer()
                        .connectHandler { socket ->
                            sockets += socket
                            socket.exceptionHandler { }
                            socket.handler { respond(socket, it.toString()) }
                        }.listen(0, HOST)
                        .coAwait()
                address = SocketAddress(HOST, server.actualPort())
                withContext(dispatcher) { body() }
            }
        }

    override fun close() {
        vertx
            .close()
            .toCompletionStage()
            .toCompletableFuture()
            .join()
    }

    companion object {
        private const val HOST = "127.0.0.1"

        fun request(method: HttpMethod = HttpMethod.GET) = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/")

        fun NetSocket.send(text: String) {
            write(Buffer.buffer(text))
        }
    }
}
