package dev.goldcrestquay.http.edge

import io.netty.channel.Channel
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.net.impl.ConnectionBase
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CompletableDeferred

/**
 * An HTTP server that stops listening before it closes.
 *
 * A closing server gives up its event loop while it still accepts, so a connection that comes then would fail with an error.
 */
internal class HttpListener(
    private val server: HttpServer,
) {
    private var acceptor: Channel? = null

    /** Starts to listen; [onConnection] is called with each new connection. */
    suspend fun start(
        onConnection: (HttpConnection) -> Unit = { },
        onRequest: (HttpServerRequest) -> Unit,
    ) {
        server
            .connectionHandler { connection ->
                acceptor = (connection as ConnectionBase).channel().parent()
                onConnection(connection)
            }.requestHandler(onRequest)
            .listen()
            .coAwait()
    }

    /** Stops listening, then closes the open connections. */
    suspend fun close() {
        // Without any connection so far there is no channel to close first, and nobody who connects.
        acceptor?.let { channel ->
            val closed = CompletableDeferred<Unit>()
            channel.close().addListener { closed.complete(Unit) }
            closed.await()
        }
        server.close().coAwait()
    }
}
