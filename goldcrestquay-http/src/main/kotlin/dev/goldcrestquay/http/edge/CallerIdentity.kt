package dev.goldcrestquay.http.edge

import dev.goldcrestquay.organisation.CallerKey
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Reads the key by which a caller identifies itself, and keeps it from being sent on. */
internal object CallerIdentity {
    /** The scheme of the key, as RFC 6750 defines it; schemes are not case-sensitive. */
    private const val SCHEME = "Bearer "

    /** What an answer to an unknown caller names as the way to identify itself. */
    const val CHALLENGE = "Bearer"

    /** The key in the [values] of a request's Authorization header; null when there is none, or more than one value. */
    fun readKey(values: List<String>): CallerKey? =
        values
            .singleOrNull()
            ?.takeIf { it.startsWith(SCHEME, ignoreCase = true) }
            ?.drop(SCHEME.length)
            ?.trim()
            ?.takeIf { it.isNotEmpty() }
            ?.let { CallerKey.of(it) }

    /** Removes the key, and what the caller says of its organisation in [organisationHeader], from [headers]. */
    fun strip(
        headers: HttpHeaders,
        organisationHeader: String?,
    ) {
        headers.remove(HttpHeaderNames.AUTHORIZATION)
        organisationHeader?.let { headers.remove(it) }
    }
}
