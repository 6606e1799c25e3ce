package dev.goldcrestquay.standins

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import dev.goldcrestquay.http.PlatformBatch
import dev.goldcrestquay.http.PlatformOffset
import dev.goldcrestquay.http.PlatformRecord
import dev.goldcrestquay.http.PlatformVm
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.LinkFailure
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import java.util.concurrent.ConcurrentHashMap

/**
 * A stand-in for the platform's log service and VM list over HTTP, for tests and experiments.
 *
 * `POST /faults` injects faults; its query parameters are:
 * - `down=true`: the log service fails all requests with status 503;
 * - `loses-replies=true`: appends take effect, but the connection is closed instead of a reply;
 * - `delay-milliseconds=500`: replies of the log service and reads of the VM list are delayed by this time;
 * - `retained=100`: each log keeps only this number of newest records.
 *
 * Except for the delay, a fault affects only the logs that exist when it is set.
 */
class PlatformServer(
    private val vertx: Vertx,
    private val clock: Clock,
) {
    private val streams = ConcurrentHashMap<String, InMemoryLog>()

    /** The VM list that `GET /vms` returns. It changes only when it is set, so it may lag behind the VMs that run. */
    @Volatile
    var vms: List<PlatformVm> = emptyList()

    /** The delay before each reply except those to `PUT /vms` and `POST /faults`, in milliseconds. */
    @Volatile
    var delayMilliseconds: Long = 0

    /** Returns the log of [stream], creating it on first use. */
    fun log(stream: String): InMemoryLog = streams.computeIfAbsent(stream) { InMemoryLog(clock) }

    /** Starts listening on [host] and [port]; port 0 picks a free one. */
    suspend fun start(
        host: String,
        port: Int,
    ): HttpServer {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create())
        router.get("/streams/:stream/records").handler { context -> respondAfterDelay { readRecords(context) } }
        router.post("/streams/:stream/records").handler { context -> respondAfterDelay { appendRecord(context) } }
        router.get("/vms").handler { context ->
            respondAfterDelay { context.respondWithJson(Json.encodeToString(ListSerializer(PlatformVm.serializer()), vms)) }
        }
        router.put("/vms").handler(::replaceVms)
        router.post("/faults").handler(::setFaults)
        return vertx
            .createHttpServer()
            .requestHandler(router)
            .listen(port, host)
            .coAwait()
    }

    private fun readRecords(context: RoutingContext) {
        val from = context.request().getParam("from")?.toLongOrNull() ?: return context.fail(BAD_REQUEST)
        respond(context, log(context.pathParam("stream")).read(from)) { batch ->
            val records = batch.entries.map { PlatformRecord(it.offset, it.text) }
            Json.encodeToString(PlatformBatch.serializer(), PlatformBatch(batch.oldest, batch.next, records))
        }
    }

    private fun appendRecord(context: RoutingContext) {
        val text = context.body().asString().orEmpty()
        respond(context, log(context.pathParam("stream")).append(text)) {
            Json.encodeToString(PlatformOffset.serializer(), PlatformOffset(it))
        }
    }

    private fun <T> respond(
        context: RoutingContext,
        result: Result<T, LinkFailure>,
        body: (T) -> String,
    ) = result.fold(
        success = { context.respondWithJson(body(it)) },
        failure = { failure ->
            when (failure) {
                LinkFailure.UNREACHABLE -> context.response().setStatusCode(UNAVAILABLE).end()
                LinkFailure.THROTTLED -> context.response().setStatusCode(TOO_MANY_REQUESTS).end()
                LinkFailure.REPLY_LOST -> context.request().connection().close()
            }
        },
    )

    private fun replaceVms(context: RoutingContext) {
        vms = Json.decodeFromString(ListSerializer(PlatformVm.serializer()), context.body().asString())
        context.response().end()
    }

    private fun setFaults(context: RoutingContext) {
        val request = context.request()
        request.getParam("down")?.let { value -> streams.values.forEach { it.down = value.toBoolean() } }
        request.getParam("loses-replies")?.let { value -> streams.values.forEach { it.losesReplies = value.toBoolean() } }
        request.getParam("retained")?.toIntOrNull()?.let { value -> streams.values.forEach { it.retained = value } }
        request.getParam("delay-milliseconds")?.toLongOrNull()?.let { delayMilliseconds = it }
        context.response().end()
    }

    private fun respondAfterDelay(reply: () -> Unit) {
        if (delayMilliseconds == 0L) reply() else vertx.setTimer(delayMilliseconds) { reply() }
    }

    private fun RoutingContext.respondWithJson(text: String) {
        response().putHeader("content-type", "application/json").end(text)
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
    }
}
