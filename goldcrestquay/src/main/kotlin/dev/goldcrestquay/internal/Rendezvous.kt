package dev.goldcrestquay.internal

import java.nio.ByteBuffer
import java.security.MessageDigest

/** The rendezvous weight of [member] for [key]: for one key, members rank alike on every entry VM. */
internal fun rendezvousWeight(
    key: String,
    member: String,
): Long {
    val digest = SHA_256.get()
    digest.reset()
    digest.update(key.encodeToByteArray())
    digest.update(SEPARATOR)
    digest.update(member.encodeToByteArray())
    return ByteBuffer.wrap(digest.digest()).getLong()
}

private const val SEPARATOR: Byte = 0
private val SHA_256 = ThreadLocal.withInitial { MessageDigest.getInstance("SHA-256") }
