package dev.goldcrestquay.http.edge

import dev.goldcrestquay.machine.SocketAddress
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import java.io.ByteArrayOutputStream

/** The whole answer to a call between processes. */
class CallResponse(
    val status: Int,
    val body: ByteArray,
)

/** Calls of small, whole bodies over pooled connections: to the platform's store and to peers. */
class HttpCallClient internal constructor(
    private val pool: OriginPool,
) {
    /** Sends one call; throws [java.io.IOException] when no whole answer comes. */
    suspend fun call(
        address: SocketAddress,
        method: String,
        uri: String,
        contentType: String?,
        body: ByteArray,
    ): CallResponse {
        val request =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri, Unpooled.wrappedBuffer(body))
        request.headers().set(HttpHeaderNames.HOST, address.toString())
        if (contentType != null) request.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        if (method != "GET") request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        val connection = pool.take(address)
        val reply = connection.send(request) { true }
        val responseBody = reply.readToEnd()
        pool.release(connection)
        return CallResponse(reply.head.status().code(), responseBody)
    }
}

/** Reads an answer's body to its end. */
internal suspend fun OriginReply.readToEnd(): ByteArray {
    val bytes = ByteArrayOutputStream()
    while (true) bytes.write(read() ?: return bytes.toByteArray())
}
