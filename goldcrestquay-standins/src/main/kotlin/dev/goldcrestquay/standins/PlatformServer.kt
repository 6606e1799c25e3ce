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
 * The platform's log service and VM list as HTTP, for tests and trials.
 *
 * Switches: `POST /faults?down=true`, `loses-replies=true`, `delay-milliseconds=500`, `retained=100`.
 */
class PlatformServer(
    private val vertx: Vertx,
    private val clock: Clock,
) {
    private val streams = ConcurrentHashMap<String, InMemoryLog>()

    /** The VM list given to askers; it changes only when told to, so it lags behind. */
    @Volatile
    var vms: List<PlatformVm> = emptyList()

    /** How long each answer takes. */
    @Volatile
    var delayMilliseconds: Long = 0

    /** The log of [stream]. */
    fun stream(stream: String): InMemoryLog = streams.computeIfAbsent(stream) { InMemoryLog(clock) }

    /** Starts listening. */
    suspend fun start(
        host: String,
        port: Int,
    ): HttpServer {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create())
        router.get("/streams/:stream/records").handler { context -> delayed { read(context) } }
        router.post("/streams/:stream/records").handler { context -> delayed { append(context) } }
        router.get("/vms").handler { context ->
            delayed { context.endJson(Json.encodeToString(ListSerializer(PlatformVm.serializer()), vms)) }
        }
        router.put("/vms").handler(::replaceVms)
        router.post("/faults").handler(::switch)
        return vertx
            .createHttpServer()
            .requestHandler(router)
            .listen(port, host)
            .coAwait()
    }

    private fun read(context: RoutingContext) {
        val from = context.request().getParam("from")?.toLongOrNull() ?: return context.fail(BAD_REQUEST)
        answer(context, stream(context.pathParam("stream")).read(from)) { batch ->
            val records = batch.entries.map { PlatformRecord(it.offset, it.text) }
            Json.encodeToString(PlatformBatch.serializer(), PlatformBatch(batch.oldest, batch.next, records))
        }
    }

    private fun append(context: RoutingContext) {
        val text = context.body().asString().orEmpty()
        answer(context, stream(context.pathParam("stream")).append(text)) {
            Json.encodeToString(PlatformOffset.serializer(), PlatformOffset(it))
        }
    }

    private fun <T> answer(
        context: RoutingContext,
        result: Result<T, LinkFailure>,
        body: (T) -> String,
    ) = result.fold(
        success = { context.endJson(body(it)) },
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

    private fun switch(context: RoutingContext) {
        val request = context.request()
        request.getParam("down")?.let { value -> streams.values.forEach { it.down = value.toBoolean() } }
        request.getParam("loses-replies")?.let { value -> streams.values.forEach { it.losesReplies = value.toBoolean() } }
        request.getParam("retained")?.toIntOrNull()?.let { value -> streams.values.forEach { it.retained = value } }
        request.getParam("delay-milliseconds")?.toLongOrNull()?.let { delayMilliseconds = it }
        context.response().end()
    }

    private fun delayed(answer: () -> Unit) {
        if (delayMilliseconds == 0L) answer() else vertx.setTimer(delayMilliseconds) { answer() }
    }

    private fun RoutingContext.endJson(text: String) {
        response().putHeader("content-type", "application/json").end(text)
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
    }
}
