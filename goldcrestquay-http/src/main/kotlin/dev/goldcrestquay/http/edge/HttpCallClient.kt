package dev.goldcrestquay.http.edge

import dev.goldcrestquay.machine.SocketAddress
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import java.io.ByteArrayOutputStream

/**
 * The complete response to a call to another process; [status] is the HTTP status code.
 *
 * @property header returns the value of the response header with the given name, or null.
 */
class CallResponse(
    val status: Int,
    val body: ByteArray,
    val header: (String) -> String?,
)

/** Sends HTTP calls with small bodies, read into memory, over pooled connections to the platform's store and to peers. */
class HttpCallClient internal constructor(
    private val pool: OriginPool,
) {
    /**
     * Sends one call and returns its response.
     *
     * Throws [java.io.IOException] when no complete response of at most [MAXIMUM_RESPONSE_BYTES] arrives, or when [maySend], asked right
     * before the first byte is sent, does not allow the call.
     */
    suspend fun call(
        address: SocketAddress,
        method: String,
        uri: String,
        contentType: String?,
        body: ByteArray,
        headers: Map<String, String> = emptyMap(),
        maySend: () -> Boolean = { true },
    ): CallResponse {
        val request =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri, Unpooled.wrappedBuffer(body))
        request.headers().set(HttpHeaderNames.HOST, address.toString())
        if (contentType != null) request.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        if (method != "GET") request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        headers.forEach { (name, value) -> request.headers().set(name, value) }
        val connection = pool.take(address)
        if (!maySend()) {
            pool.release(connection)
            throw OriginException("not sent, no longer allowed")
        }
        val reply = connection.send(request) { true }
        val responseBody = reply.readToEnd(MAXIMUM_RESPONSE_BYTES)
        pool.release(connection)
        return CallResponse(reply.head.status().code(), responseBody) { reply.head.headers()[it] }
    }

    private companion object {
        /** Several times a page of the store and the records of a large fleet, and a small part of the heap. */
        const val MAXIMUM_RESPONSE_BYTES = 8_388_608
    }
}

/**
 * Reads the rest of a response's body.
 *
 * Throws [OriginException] when the response is truncated, or longer than [limit] bytes: a faulty process may send without end. The
 * connection is closed then.
 */
internal suspend fun OriginReply.readToEnd(limit: Int): ByteArray {
    val bytes = ByteArrayOutputStream()
    while (true) {
        bytes.write(read() ?: return bytes.toByteArray())
        if (bytes.size() <= limit) continue
        abandon()
        throw OriginException("the response is longer than $limit bytes")
    }
}
