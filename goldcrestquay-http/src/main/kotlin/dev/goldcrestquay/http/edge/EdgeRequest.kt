package dev.goldcrestquay.http.edge

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion

/**
 * A caller's request with its complete body; [headers] leave out those that concern one connection only.
 *
 * @property body stays the caller's to release; each request that is sent holds it until it is written or its connection is closed.
 */
class EdgeRequest(
    val id: String,
    val method: String,
    val uri: String,
    val headers: List<Pair<String, String>>,
    val body: ByteBuf,
) {
    constructor(id: String, method: String, uri: String, headers: List<Pair<String, String>>, body: ByteArray) :
        this(id, method, uri, headers, Unpooled.wrappedBuffer(body))

    /** The request as it is sent on. */
    internal fun toHttp(): DefaultFullHttpRequest {
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri, body.duplicate())
        headers.forEach { (name, value) -> request.headers().add(name, value) }
        if (body.isReadable || method in METHODS_WITH_BODY) request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        body.retain()
        return request
    }

    private companion object {
        val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
    }
}
