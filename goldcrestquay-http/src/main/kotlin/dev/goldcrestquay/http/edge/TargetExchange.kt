package dev.goldcrestquay.http.edge

import dev.goldcrestquay.contract.PlannedService
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.http.CallHeaders
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.routing.LoadSample
import dev.goldcrestquay.routing.ProbeResult
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The headers that entry VMs, callers and targets exchange.
 *
 * @property requestId names one attempt of a caller; targets repeat it.
 * @property deadline what is left of the deadline, in milliseconds.
 * @property proof a target's mark on its own answers.
 * @property expectedTarget the identifier of the target that alone may run the request.
 * @property notRun a target's word that it did not run the request.
 * @property targetId a target's identifier on its health answers.
 * @property readLoad reads a target's load from its headers, or null when it does not tell.
 */
class TargetProtocol(
    val requestId: String,
    val deadline: String,
    val proof: String,
    val expectedTarget: String,
    val notRun: String,
    val targetId: String,
    val readLoad: (header: (String) -> String?) -> LoadSample?,
)

/** A caller's request with its whole body. */
class EdgeRequest(
    val id: String,
    val method: String,
    val uri: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
)

/**
 * A target's answer.
 *
 * @property body the whole body, or its beginning when [rest] reads on.
 */
class EdgeReply internal constructor(
    val status: Int,
    val reason: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    internal val rest: OriginReply?,
)

/** Asks targets for their load and sends them requests. */
class TargetExchange internal constructor(
    private val pool: OriginPool,
    private val protocol: TargetProtocol,
) {
    /** Asks [target] for its load; null when it does not answer or another process has its address. */
    internal suspend fun probe(
        target: RegisteredTarget,
        service: PlannedService,
    ): ProbeResult<OriginConnection>? {
        val idle = pool.takeIdle(target.address)
        val probed = idle?.let { probeOver(it, target, service) }
        if (probed != null || (idle != null && idle.isUsable)) return probed
        val fresh =
            try {
                pool.open(target.address)
            } catch (_: IOException) {
                return null
            }
        return probeOver(fresh, target, service)
    }

    private suspend fun probeOver(
        connection: OriginConnection,
        target: RegisteredTarget,
        service: PlannedService,
    ): ProbeResult<OriginConnection>? {
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, service.healthPath)
        request.headers().set(HttpHeaderNames.HOST, target.address.toString())
        return try {
            val reply = connection.send(request) { !it.headers().contains(protocol.requestId) }
            reply.readWhole()
            val head = reply.head
            noteKeepTime(target, head)
            val id = head.headers().get(protocol.targetId)
            if (id != null && id != target.id) {
                connection.close()
                return null
            }
            val told = protocol.readLoad { head.headers().get(it) }
            val load = told ?: LoadSample(0, 0, target.slots, 1.0, healthy = true)
            ProbeResult(load.copy(healthy = head.status().code() == OK), connection)
        } catch (_: IOException) {
            null
        }
    }

    /** Sends [request] to [target] over [probed], or over another connection when that is gone. */
    internal suspend fun send(
        request: EdgeRequest,
        target: RegisteredTarget,
        probed: OriginConnection?,
        remaining: Duration,
    ): SendResult<EdgeReply> {
        val connection =
            try {
                probed?.takeIf { it.isUsable } ?: pool.open(target.address)
            } catch (_: IOException) {
                return SendResult.Refused(Refusal.CONNECTION_REFUSED)
            }
        return try {
            val reply = connection.send(outgoing(request, target, remaining)) { belongsTo(request, it) }
            noteKeepTime(target, reply.head)
            receive(reply, connection)
        } catch (_: OriginFailure) {
            SendResult.Broken(ResultCode.CONNECTION_LOST)
        }
    }

    private fun belongsTo(
        request: EdgeRequest,
        head: HttpResponse,
    ): Boolean = (head.headers().get(protocol.requestId) ?: request.id) == request.id

    private fun outgoing(
        request: EdgeRequest,
        target: RegisteredTarget,
        remaining: Duration,
    ): DefaultFullHttpRequest {
        val method = HttpMethod.valueOf(request.method)
        val outgoing = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, request.uri, Unpooled.wrappedBuffer(request.body))
        request.headers.forEach { (name, value) -> outgoing.headers().add(name, value) }
        outgoing.headers().set(protocol.deadline, remaining.inWholeMilliseconds.coerceAtLeast(1))
        outgoing.headers().set(protocol.expectedTarget, target.id)
        if (request.body.isNotEmpty() || request.method in METHODS_WITH_BODY) {
            outgoing.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        return outgoing
    }

    private suspend fun receive(
        reply: OriginReply,
        connection: OriginConnection,
    ): SendResult<EdgeReply> {
        val head = reply.head
        val status = head.status().code()
        if (head.headers().contains(protocol.notRun) || status == MISDIRECTED) {
            reply.readWhole()
            pool.release(connection)
            return SendResult.Refused(if (status == MISDIRECTED) Refusal.DRAINING else Refusal.SHEDDING)
        }
        val foreign = !head.headers().contains(protocol.proof) || head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
        if (foreign) {
            connection.close()
            return SendResult.Broken(ResultCode.FOREIGN_ANSWER)
        }
        return try {
            readBody(reply, connection, status >= FIRST_SERVER_ERROR)
        } catch (_: OriginFailure) {
            SendResult.Broken(ResultCode.ANSWER_TRUNCATED)
        }
    }

    private suspend fun readBody(
        reply: OriginReply,
        connection: OriginConnection,
        failed: Boolean,
    ): SendResult<EdgeReply> {
        val head = reply.head
        val bytes = ByteArrayOutputStream()
        var whole = false
        while (!whole && bytes.size() < KEPT_BYTES) {
            val piece = reply.read()
            if (piece == null) whole = true else bytes.write(piece)
        }
        if (whole) pool.release(connection)
        val headers =
            head
                .headers()
                .entries()
                .map { it.key to it.value }
                .filter { it.first.lowercase() !in UNFORWARDED }
        val rest = if (whole) null else reply
        return SendResult.Replied(EdgeReply(head.status().code(), head.status().reasonPhrase(), headers, bytes.toByteArray(), rest), failed)
    }

    private fun noteKeepTime(
        target: RegisteredTarget,
        head: HttpResponse,
    ) {
        val announced = head.headers().get("keep-alive") ?: return
        val seconds =
            announced
                .split(',', ';')
                .map { it.trim() }
                .firstOrNull { it.startsWith("timeout=") }
                ?.removePrefix("timeout=")
                ?.toIntOrNull() ?: return
        pool.keepFor(target.address, seconds.seconds)
    }

    private companion object {
        const val OK = 200
        const val MISDIRECTED = 421
        const val FIRST_SERVER_ERROR = 500

        /** Answers up to this size are read whole first, so that one that breaks off can be told or asked for again. */
        const val KEPT_BYTES = 262_144

        val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")

        /** Headers that concern one connection, and the length, which is set anew. */
        val UNFORWARDED = CallHeaders.HOP_BY_HOP + "content-length"
    }
}
