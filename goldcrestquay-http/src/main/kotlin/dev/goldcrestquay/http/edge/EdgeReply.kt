package dev.goldcrestquay.http.edge

import dev.goldcrestquay.http.CallHeaders
import java.io.ByteArrayOutputStream

/**
 * A target's response.
 *
 * @property body the complete body when [rest] is null, otherwise its beginning.
 * @property rest reads what follows [body].
 */
class EdgeReply internal constructor(
    val status: Int,
    val reason: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    internal val rest: OriginReply?,
)

/**
 * Reads [reply] up to its end or the first [BUFFERED_BODY_BYTES], less while memory is scarce, and releases its [connection] to [pool]
 * at the end.
 *
 * Throws [OriginException] when the response is truncated within that part.
 */
internal suspend fun readEdgeReply(
    reply: OriginReply,
    connection: OriginConnection,
    pool: OriginPool,
): EdgeReply {
    val memory = pool.memory
    val bytes = ByteArrayOutputStream()
    var isComplete = false
    try {
        while (!isComplete && bytes.size() < BUFFERED_BODY_BYTES && (bytes.size() == 0 || !memory.isScarce)) {
            val chunk = reply.read()
            if (chunk == null) isComplete = true else bytes.write(chunk)
            memory.hold(chunk?.size ?: 0)
        }
    } finally {
        memory.release(bytes.size())
    }
    if (isComplete) pool.release(connection)
    val headers =
        reply.head
            .headers()
            .entries()
            .map { it.key to it.value }
            .filter { it.first.lowercase() !in UNFORWARDED_HEADERS }
    val status = reply.head.status()
    return EdgeReply(status.code(), status.reasonPhrase(), headers, bytes.toByteArray(), if (isComplete) null else reply)
}

/**
 * Bodies up to this size are read completely before the caller gets any of them, so that a truncated one can still be
 * reported or retried.
 */
private const val BUFFERED_BODY_BYTES = 262_144

/** Headers that concern one connection only, Content-Length, which the server sets itself, and what entry VMs tell each other. */
private val UNFORWARDED_HEADERS = CallHeaders.HOP_BY_HOP + "content-length" + CallHeaders.RELAY + CallHeaders.RELAY_LEAVING
