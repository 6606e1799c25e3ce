package dev.goldcrestquay.http.edge

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.ResultKind
import dev.goldcrestquay.http.CallHeaders
import dev.goldcrestquay.machine.FleetMember
import dev.goldcrestquay.organisation.RelayedCaller
import dev.goldcrestquay.routing.ForwardOutcome
import dev.goldcrestquay.routing.ForwardRequest
import dev.goldcrestquay.routing.RelayTerms
import dev.goldcrestquay.routing.TargetNotice
import dev.goldcrestquay.routing.TargetNotices
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import java.io.IOException
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Relays requests to peers over their own addresses, as ordinary HTTP requests with the [RelayTerms] in a header.
 *
 * @param onRejection is called with a peer whose release does not relay.
 * @param organisationHeader the name of the header that names an organisation, which callers may not set.
 */
internal class PeerRelay(
    private val pool: OriginPool,
    private val notices: TargetNotices,
    private val onRejection: (FleetMember) -> Unit = {},
    private val organisationHeader: String? = null,
) {
    /** Has [peer] serve [request]; what the peer says of its own is told apart from a target's answer by [CallHeaders.RELAY]. */
    suspend fun relay(
        request: EdgeRequest,
        peer: FleetMember,
        terms: RelayTerms,
    ): ForwardOutcome<EdgeReply> {
        val connection =
            try {
                pool.take(peer.peerAddress)
            } catch (_: IOException) {
                return ForwardRequest.UNAVAILABLE_PEER
            }
        val outgoing = request.toHttp()
        if (terms.caller != null) CallerIdentity.strip(outgoing.headers(), organisationHeader)
        outgoing.headers().set(CallHeaders.RELAY, format(terms))
        val reply =
            try {
                connection.send(outgoing) { it.headers().contains(CallHeaders.RELAY) || it.isRejection }
            } catch (_: OriginException) {
                return ForwardOutcome.Unknown(ResultCode.CONNECTION_LOST)
            }
        return try {
            val edgeReply = readEdgeReply(reply, connection, pool)
            val headers = reply.head.headers()
            if (headers.get(CallHeaders.RELAY) == ANSWERED) {
                headers.get(CallHeaders.RELAY_LEAVING)?.let { notices.record(it, TargetNotice(isLeaving = true)) }
                return ForwardOutcome.Answered(edgeReply, null)
            }
            edgeReply.rest?.abandon()
            if (headers.contains(CallHeaders.RELAY)) return outcomeOf(headers)
            // Other statuses may concern this request alone, such as one whose head is too large with the terms in it.
            if (edgeReply.status == NOT_FOUND) onRejection(peer)
            ForwardRequest.UNAVAILABLE_PEER
        } catch (_: OriginException) {
            ForwardOutcome.Unknown(ResultCode.ANSWER_TRUNCATED)
        }
    }

    /**
     * Whether the peer rejects the request as none that it knows, since its release does not relay.
     *
     * A release that relays marks its every answer to a relayed request, so this one has not run.
     */
    private val HttpResponse.isRejection: Boolean
        get() = status().codeClass() == HttpStatusClass.CLIENT_ERROR

    private fun outcomeOf(headers: HttpHeaders): ForwardOutcome<Nothing> {
        val code = headers.get(CallHeaders.RESULT_CODE)?.toIntOrNull()?.let { ResultCode.of(it) }
        if (code?.kind != ResultKind.NOT_RUN) return ForwardOutcome.Unknown(code ?: ResultCode.FOREIGN_ANSWER)
        val retryAfter = headers.get("Retry-After")?.toDoubleOrNull()?.seconds ?: Duration.ZERO
        return ForwardOutcome.NotRun(code, retryAfter)
    }

    companion object {
        /** The value of [CallHeaders.RELAY] in a response that is a target's answer. */
        const val ANSWERED = "answered"

        /** The value of [CallHeaders.RELAY] in a response that the peer made itself. */
        const val NOT_ANSWERED = "not-answered"

        private const val PARTS = 3
        private const val PARTS_WITH_CALLER = 5
        private const val NO_ORGANISATION = "-"
        private const val NOT_FOUND = 404

        /** The value of [CallHeaders.RELAY] in a request; a release that does not know the caller's part rejects it as not run. */
        fun format(terms: RelayTerms): String =
            "${terms.from} ${terms.elapsed.inWholeMilliseconds} ${terms.attempts}" + terms.caller?.let { " ${format(it)}" }.orEmpty()

        private fun format(caller: RelayedCaller): String = "${caller.planVersion} ${caller.organisation?.let(::encode) ?: NO_ORGANISATION}"

        /** Names may hold spaces. */
        private fun encode(name: String): String = Base64.getUrlEncoder().withoutPadding().encodeToString(name.encodeToByteArray())

        private fun decode(text: String): String? =
            try {
                Base64
                    .getUrlDecoder()
                    .decode(text)
                    .decodeToString(throwOnInvalidSequence = true)
                    .takeIf { name -> name.isNotEmpty() && name.none { it.isISOControl() } }
            } catch (_: IllegalArgumentException) {
                null
            } catch (_: CharacterCodingException) {
                null
            }

        /** Reads what [format] wrote; null for anything else. */
        fun parse(value: String): RelayTerms? {
            val parts = value.split(' ').takeIf { it.size == PARTS || it.size == PARTS_WITH_CALLER } ?: return null
            val elapsed = parts[1].toLongOrNull()?.takeIf { it >= 0 } ?: return null
            val attempts = parts[2].toIntOrNull()?.takeIf { it > 0 } ?: return null
            val caller = if (parts.size == PARTS) null else parseCaller(parts[PARTS], parts.last()) ?: return null
            return RelayTerms(parts[0], elapsed.milliseconds, attempts, caller)
        }

        private fun parseCaller(
            planVersion: String,
            organisation: String,
        ): RelayedCaller? {
            val version = planVersion.toLongOrNull() ?: return null
            return if (organisation ==
                NO_ORGANISATION
            ) {
                RelayedCaller(version, null)
            } else {
                decode(organisation)?.let { RelayedCaller(version, it) }
            }
        }
    }
}
