package dev.goldcrestquay.organisation

import java.security.MessageDigest

/** A key that a caller presented, held as its digest only. */
public class CallerKey private constructor(
    internal val digest: ByteArray,
) {
    override fun toString(): String = "CallerKey"

    public companion object {
        private const val ALGORITHM = "SHA-256"

        /** The key with the given [text]. */
        public fun of(text: String): CallerKey = CallerKey(MessageDigest.getInstance(ALGORITHM).digest(text.encodeToByteArray()))

        /** The digest of the key with the given [text], as plans hold it: lower-case hexadecimal digits. */
        public fun digestText(text: String): String = of(text).digest.joinToString("") { "%02x".format(it) }
    }
}

/**
 * What an entry VM that relays a request says of its caller.
 *
 * @property planVersion the version of the plan by which that entry VM identified the caller.
 * @property organisation the name of the caller's organisation, or null when the caller of a public route presented no key.
 */
public data class RelayedCaller(
    val planVersion: Long,
    val organisation: String?,
)

/**
 * What is known of a caller before it is identified.
 *
 * @property relayed what the entry VM said that relays the request, or null when the caller has to identify itself.
 * @param readKey returns the key that the request carries, or null when it carries none.
 */
public class CallerCredentials(
    public val relayed: RelayedCaller? = null,
    readKey: () -> CallerKey? = { null },
) {
    internal val key: CallerKey? by lazy(LazyThreadSafetyMode.NONE, readKey)
}
