package dev.goldcrestquay.http.edge

import dev.goldcrestquay.machine.SocketAddress
import io.vertx.core.http.HttpServerOptions

/** The options of an HTTP server at [address]. */
internal fun serverOptions(address: SocketAddress): HttpServerOptions =
    HttpServerOptions()
        .setHost(address.host)
        .setPort(address.port)
        .setTcpNoDelay(true)
        .setAcceptBacklog(ACCEPT_BACKLOG)
        .setMaxHeaderSize(HEADER_LIMIT_BYTES)
        .setMaxInitialLineLength(HEADER_LIMIT_BYTES)
        .setHandle100ContinueAutomatically(true)
        // What is known of callers is seen in the frames of HTTP/1.1 only.
        .setHttp2ClearTextEnabled(false)
        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)

/** When the accept queue is full the kernel drops SYN packets, which clients retransmit only after seconds. */
private const val ACCEPT_BACKLOG = 1024

private const val HEADER_LIMIT_BYTES = 65_536

/** Longer than any limit that operators set on idle connections, so that callers close theirs first. */
private const val IDLE_TIMEOUT_SECONDS = 120
