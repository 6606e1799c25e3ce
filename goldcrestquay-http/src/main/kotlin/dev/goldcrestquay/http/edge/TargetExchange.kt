package dev.goldcrestquay.http.edge

import dev.goldcrestquay.contract.PlannedService
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.organisation.CallerOrganisation
import dev.goldcrestquay.routing.Dispatch
import dev.goldcrestquay.routing.LoadSample
import dev.goldcrestquay.routing.ProbeResult
import dev.goldcrestquay.routing.TargetNotice
import dev.goldcrestquay.routing.TargetNotices
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The names of the HTTP headers that callers, entry VMs and targets exchange.
 *
 * @property requestId identifies one attempt of a caller; targets echo it in their response.
 * @property deadline the time left until the deadline, in milliseconds.
 * @property responseSeal marks a response as the target's own.
 * @property expectedTarget the identifier of the only target that may run the request.
 * @property notRun states in a target's response that it did not run the request.
 * @property targetId the target's identifier, on health check responses.
 * @property readRequestLimit reads the requests per second that a target takes from all callers together, or returns null when it names none.
 * @property organisation the name of the caller's organisation, in requests to targets.
 * @property readNotice reads what a target says of itself from its response's status and headers; several values stand for a repeated header.
 * @property readLoad reads the load from a target's response headers, or returns null when they carry none.
 */
class TargetProtocol(
    val requestId: String,
    val deadline: String,
    val responseSeal: String,
    val expectedTarget: String,
    val notRun: String,
    val targetId: String,
    val readRequestLimit: (header: (String) -> String?) -> Double?,
    val readLoad: (header: (String) -> String?) -> LoadSample?,
    val readNotice: (status: Int, headers: (String) -> List<String>) -> TargetNotice = { _, _ -> TargetNotice() },
    val organisation: String? = null,
)

/** Probes targets for their load and sends them requests over pooled connections. */
class TargetExchange internal constructor(
    private val pool: OriginPool,
    private val protocol: TargetProtocol,
    private val notices: TargetNotices,
) {
    /** Whether [target] has said that it leaves. */
    internal fun isLeaving(target: RegisteredTarget): Boolean = notices.isLeaving(target.id)

    /**
     * Probes [target] for its load; null when it does not respond or another process has taken its address.
     *
     * Tries an idle connection first, and opens a new one when there is none or it can no longer be used. A probe that takes longer
     * than [PROBE_TIMEOUT] is given up and its connection closed, so that silent targets do not collect connections.
     */
    internal suspend fun probe(
        target: RegisteredTarget,
        service: PlannedService,
    ): ProbeResult<OriginConnection>? =
        try {
            withTimeoutOrNull(PROBE_TIMEOUT) { probeOnce(target, service) }
        } catch (exception: IllegalArgumentException) {
            log.warn("target {} cannot be probed at {}{}: {}", target.id, target.address, service.healthPath, exception.message)
            null
        }

    private suspend fun probeOnce(
        target: RegisteredTarget,
        service: PlannedService,
    ): ProbeResult<OriginConnection>? {
        val idle = pool.takeIdle(target.address)
        val probed = idle?.let { probeOver(it, target, service) }
        if (probed != null || (idle != null && idle.isUsable)) return probed
        val opened =
            try {
                pool.open(target.address)
            } catch (_: IOException) {
                return null
            }
        return probeOver(opened, target, service)
    }

    private suspend fun probeOver(
        connection: OriginConnection,
        target: RegisteredTarget,
        service: PlannedService,
    ): ProbeResult<OriginConnection>? {
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, service.healthPath)
        request.headers().set(HttpHeaderNames.HOST, target.address.toString())
        return try {
            // A health check response names no request; one that does is a late response to an earlier request.
            val reply =
                connection.send(request) { head ->
                    (!head.headers().contains(protocol.requestId)).also { if (!it) noteOfSkipped(target, head) }
                }
            val head = reply.head
            note(target, head)
            reply.readToEnd(MAXIMUM_SMALL_BODY_BYTES)
            noteKeepAlive(target, head)
            val id = head.headers().get(protocol.targetId)
            if (id != null && id != target.id) {
                connection.close()
                return null
            }
            val reportedLoad = protocol.readLoad { head.headers().get(it) }
            // A refusal that names no request can't be told from a late copy of itself, so nothing else is sent over its connection.
            if (head.status().code() != OK) connection.close()
            // A target that reports no load counts as idle at its usual speed.
            val load = reportedLoad ?: LoadSample(0, 0, target.slots, 1.0, healthy = true)
            ProbeResult(load.copy(healthy = head.status().code() == OK, requestLimit = requestLimit(head)), connection)
        } catch (_: IOException) {
            null
        }
    }

    /** Sends [request] over the connection of its [dispatch], or over a new one when that is null or closed. */
    internal suspend fun send(
        request: EdgeRequest,
        dispatch: Dispatch<OriginConnection>,
    ): SendResult<EdgeReply> {
        val target = dispatch.target
        var connection = dispatch.connection
        repeat(MAXIMUM_CONNECTS) {
            connection = connect(target, connection) ?: return SendResult.Refused(Refusal.CONNECTION_REFUSED)
            val opened = checkNotNull(connection)
            val isConfirmed =
                try {
                    dispatch.confirm()
                } catch (exception: CancellationException) {
                    pool.release(opened)
                    throw exception
                }
            if (!isConfirmed) {
                pool.release(opened)
                return SendResult.Refused(Refusal.WITHDRAWN)
            }
            if (opened.isReady()) return exchange(request, dispatch, opened)
        }
        return SendResult.Refused(Refusal.CONNECTION_REFUSED)
    }

    private suspend fun exchange(
        request: EdgeRequest,
        dispatch: Dispatch<OriginConnection>,
        connection: OriginConnection,
    ): SendResult<EdgeReply> {
        val target = dispatch.target
        return try {
            val reply =
                connection.send(outgoingRequest(request, target, dispatch)) { head ->
                    isResponseTo(request, head).also { if (!it) noteOfSkipped(target, head) }
                }
            noteKeepAlive(target, reply.head)
            receive(target, reply, connection)
        } catch (_: OriginException) {
            SendResult.Broken(ResultCode.CONNECTION_LOST)
        }
    }

    /** The [present] connection to [target] if it can be used, or else a new one; null when none can be opened. */
    private suspend fun connect(
        target: RegisteredTarget,
        present: OriginConnection?,
    ): OriginConnection? =
        try {
            present?.takeIf { it.isReady() } ?: pool.open(target.address)
        } catch (_: IOException) {
            null
        }

    /** A signed response names its request; a late copy that does not is taken for no answer. A refusal may name none. */
    private fun isResponseTo(
        request: EdgeRequest,
        head: HttpResponse,
    ): Boolean {
        val id = head.headers().get(protocol.requestId) ?: return !head.headers().contains(protocol.responseSeal)
        return id == request.id
    }

    private fun outgoingRequest(
        request: EdgeRequest,
        target: RegisteredTarget,
        dispatch: Dispatch<OriginConnection>,
    ): DefaultFullHttpRequest {
        val outgoingRequest = request.toHttp()
        val callerOrganisation = dispatch.callerOrganisation()
        if (callerOrganisation != CallerOrganisation.Unused) CallerIdentity.strip(outgoingRequest.headers(), protocol.organisation)
        if (protocol.organisation !=
            null
        ) {
            callerOrganisation.organisationName?.let { outgoingRequest.headers().set(protocol.organisation, it) }
        }
        outgoingRequest.headers().set(protocol.deadline, dispatch.remaining.inWholeMilliseconds.coerceAtLeast(1))
        outgoingRequest.headers().set(protocol.expectedTarget, target.id)
        return outgoingRequest
    }

    private suspend fun receive(
        target: RegisteredTarget,
        reply: OriginReply,
        connection: OriginConnection,
    ): SendResult<EdgeReply> {
        val head = reply.head
        val status = head.status().code()
        val isRefusal = head.headers().contains(protocol.notRun) || status == MISDIRECTED
        val isForeign = !head.headers().contains(protocol.responseSeal) || head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
        if (isRefusal || !isForeign) note(target, head)
        if (isRefusal) {
            discardBody(reply, connection)
            return SendResult.Refused(
                if (status == MISDIRECTED) Refusal.DRAINING else Refusal.SHEDDING,
                requestLimit = requestLimit(head),
            )
        }
        if (isForeign) {
            reply.abandon()
            return SendResult.Broken(ResultCode.FOREIGN_ANSWER)
        }
        return try {
            readBody(reply, connection, status >= FIRST_SERVER_ERROR)
        } catch (_: OriginException) {
            SendResult.Broken(ResultCode.ANSWER_TRUNCATED)
        }
    }

    /**
     * Frees the connection of a refusal; its head tells all, so a body that is long, slow or truncated only costs the connection.
     *
     * A refusal that names no request can't be told from a late copy of itself, so nothing else is sent over its connection.
     */
    private suspend fun discardBody(
        reply: OriginReply,
        connection: OriginConnection,
    ) {
        try {
            withTimeoutOrNull(REFUSAL_BODY_TIMEOUT) { reply.readToEnd(MAXIMUM_SMALL_BODY_BYTES) } ?: return connection.close()
            if (reply.head.headers().contains(protocol.requestId)) pool.release(connection) else connection.close()
        } catch (_: OriginException) {
            connection.close()
        }
    }

    private suspend fun readBody(
        reply: OriginReply,
        connection: OriginConnection,
        isServerError: Boolean,
    ): SendResult<EdgeReply> {
        val edgeReply = readEdgeReply(reply, connection, pool)
        return SendResult.Replied(
            edgeReply,
            isServerError,
            bodyBytes = maxOf(edgeReply.body.size.toLong(), HttpUtil.getContentLength(reply.head, 0L)),
            requestLimit = requestLimit(reply.head),
        )
    }

    /** Records what the response with the given [head] says of [target], unless it says that another target gave it. */
    private fun note(
        target: RegisteredTarget,
        head: HttpResponse,
    ) {
        val id = head.headers().get(protocol.targetId)
        if (id == null || id == target.id) record(target, head)
    }

    /** The same for a response to no pending request, which another process at the same address may have given before. */
    private fun noteOfSkipped(
        target: RegisteredTarget,
        head: HttpResponse,
    ) {
        if (head.headers().get(protocol.targetId) == target.id) record(target, head)
    }

    private fun record(
        target: RegisteredTarget,
        head: HttpResponse,
    ) = notices.record(target.id, protocol.readNotice(head.status().code()) { head.headers().getAll(it) })

    private fun requestLimit(head: HttpResponse): Double? = protocol.readRequestLimit { head.headers().get(it) }

    private fun noteKeepAlive(
        target: RegisteredTarget,
        head: HttpResponse,
    ) {
        val keepAliveHeader = head.headers().get("keep-alive") ?: return
        val seconds =
            keepAliveHeader
                .split(',', ';')
                .map { it.trim() }
                .firstOrNull { it.startsWith("timeout=") }
                ?.removePrefix("timeout=")
                ?.toIntOrNull() ?: return
        pool.setIdleTimeout(target.address, seconds.seconds)
    }

    private companion object {
        val log by lazy { LogManager.getLogger(TargetExchange::class.java) }

        const val OK = 200
        const val MISDIRECTED = 421
        const val FIRST_SERVER_ERROR = 500

        /** The connections that are tried for one request while they close before it is sent. */
        const val MAXIMUM_CONNECTS = 3

        /** A probe that is not answered by then says that the target is stuck or its machine is cut off. */
        val PROBE_TIMEOUT = 500.milliseconds

        /** The largest body of a health response or a refusal. */
        const val MAXIMUM_SMALL_BODY_BYTES = 65_536

        /** How long the body of a refusal may take: the retry at another target waits for it. */
        val REFUSAL_BODY_TIMEOUT = 50.milliseconds
    }
}
