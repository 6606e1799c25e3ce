package dev.goldcrestquay.http.edge

import dev.goldcrestquay.machine.SocketAddress
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import java.io.ByteArrayOutputStream

/** The complete response to a call to another process; [status] is the HTTP status code. */
class CallResponse(
    val status: Int,
    val body: ByteArray,
)

/** Sends HTTP calls with small bodies, read into memory, over pooled connections to the platform's store and to peers. */
class HttpCallClient internal constructor(
    private val pool: OriginPool,
) {
    /** Sends one call and returns its response; throws [java.io.IOException] when no complete response arrives. */
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

/** Reads the rest of a response's body; throws [OriginException] when the response is truncated. */
internal suspend fun OriginReply.readToEnd(): ByteArray {
    val bytes = ByteArrayOutputStream()
    while (true) bytes.write(read() ?: return bytes.toByteArray())
}
