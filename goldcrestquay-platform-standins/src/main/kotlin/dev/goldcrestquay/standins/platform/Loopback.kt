package dev.goldcrestquay.standins.platform

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait

/** Starts an HTTP server with [handler] on a free port of `127.0.0.1`. */
internal suspend fun Vertx.serveOnLoopback(handler: (HttpServerRequest) -> Unit): HttpServer =
    createHttpServer().requestHandler(handler).listen(0, "127.0.0.1").coAwait()
