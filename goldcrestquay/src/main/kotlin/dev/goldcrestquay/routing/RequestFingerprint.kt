package dev.goldcrestquay.routing

import dev.goldcrestquay.internal.stableHash
import java.nio.ByteBuffer
import java.util.zip.CRC32C

/** A hash of what a request asks for, the same on every entry VM; [uri] is the path with its query. */
public fun requestFingerprint(
    method: String,
    host: String,
    uri: String,
    body: ByteArray,
): Long = requestFingerprint(method, host, uri, arrayOf(ByteBuffer.wrap(body)))

/** The same for a [body] in parts, which are read to their ends. */
public fun requestFingerprint(
    method: String,
    host: String,
    uri: String,
    body: Array<ByteBuffer>,
): Long {
    val size = body.sumOf { it.remaining() }
    val checksum = CRC32C().apply { body.forEach { update(it) } }.value
    return stableHash("$method $host $uri $size $checksum")
}
