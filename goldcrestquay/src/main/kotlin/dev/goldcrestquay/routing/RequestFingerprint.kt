package dev.goldcrestquay.routing

import dev.goldcrestquay.internal.stableHash
import java.util.zip.CRC32C

/** A hash of what a request asks for, the same on every entry VM; [uri] is the path with its query. */
public fun requestFingerprint(
    method: String,
    host: String,
    uri: String,
    body: ByteArray,
): Long {
    val checksum = CRC32C().apply { update(body) }.value
    return stableHash("$method $host $uri ${body.size} $checksum")
}
