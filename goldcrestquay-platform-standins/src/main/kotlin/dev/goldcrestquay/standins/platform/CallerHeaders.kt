package dev.goldcrestquay.standins.platform

import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.HttpRequest
import kotlin.time.Duration

/** Sets the headers with which callers of `shop.example` send the request called [id], for whose response they wait until [deadline]. */
internal fun HttpRequest<Buffer>.putCallerHeaders(
    id: String,
    deadline: Duration,
): HttpRequest<Buffer> =
    putHeader("Host", "shop.example")
        .putHeader("Goldcrestquay-Request-Id", id)
        .putHeader("Goldcrestquay-Deadline-Ms", deadline.inWholeMilliseconds.toString())
