package dev.goldcrestquay.internal

import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.SplittableRandom

/** A hash of [text] that is the same on every entry VM. */
internal fun stableHash(text: String): Long =
    ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())).getLong()

/** The first [count] of [members] in the rendezvous order for [key]; the same on every entry VM that knows the same members. */
internal fun rendezvousOwners(
    key: String,
    members: Collection<String>,
    count: Int,
): List<String> {
    val hash = stableHash(key)
    val weights = members.associateWith { rendezvousWeight(hash, stableHash(it)) }
    return members.sortedByDescending { weights.getValue(it) }.take(count)
}

/** The rendezvous weight of a member for a key, both hashed with [stableHash]; the ranking of members is the same on every entry VM. */
internal fun rendezvousWeight(
    keyHash: Long,
    memberHash: Long,
): Long = SplittableRandom(keyHash xor memberHash).nextLong()
