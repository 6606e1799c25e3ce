package dev.goldcrestquay.standins.lab

import dev.goldcrestquay.http.CallHeaders
import dev.goldcrestquay.zone.AddressAnswer
import dev.goldcrestquay.zone.EntryAddress
import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** How a call ended for its caller. */
enum class CallerView {
    /** An answer came, whole and its own. */
    ANSWERED,

    /** An answer came that the target marked as failed. */
    FAILED,

    /** An answer to another call came. */
    FOREIGN,

    /** The call was refused as not run. */
    NOT_RUN,

    /** The call may have run. */
    UNKNOWN,

    /** The connection to the entry VM broke or could not be made. */
    ENTRY_LOST,
}

/**
 * One call as its caller saw it.
 *
 * @property scheduledMilliseconds when it was due, since the start of the load.
 * @property latencyMicroseconds from when it was due to its end.
 * @property code the result code, 0 for none.
 */
data class CallRecord(
    val service: String,
    val call: String,
    val idempotent: Boolean,
    val scheduledMilliseconds: Long,
    val latencyMicroseconds: Long,
    val view: CallerView,
    val code: Int,
    val version: String,
)

/** Callers that ask for addresses, keep the answer for its lifetime and call at fixed times whatever the answers do. */
class Callers(
    private val vertx: Vertx,
    private val deployment: Deployment,
    private val dataCentres: List<String>,
    seed: Long,
) {
    private val random = Random(seed)
    private val client =
        vertx.createHttpClient(
            HttpClientOptions().setConnectTimeout(CONNECT_MILLISECONDS).setTcpNoDelay(true).setKeepAliveTimeout(2),
            PoolOptions().setHttp1MaxSize(POOL_SIZE),
        )
    private val start = TimeSource.Monotonic.markNow()
    private val kept = mutableMapOf<Pair<String, String>, Pair<AddressAnswer, Duration>>()

    /** The calls that have ended. */
    val records = ConcurrentLinkedQueue<CallRecord>()

    /** The time since the load began. */
    val elapsed: Duration get() = start.elapsedNow()

    /** Runs the load of one service for [duration]. */
    suspend fun run(
        load: Load,
        duration: Duration,
    ): Unit =
        coroutineScope {
            val dispatched = CoroutineScope(coroutineContext + vertx.dispatcher())
            var due = elapsed
            val end = due + duration
            var number = 0
            while (due < end) {
                due += (-ln(1.0 - random.nextDouble()) / load.callsPerSecond).seconds
                val wait = due - elapsed
                if (wait > 1.milliseconds) delay(wait)
                val call = "${load.service}-${number++}"
                val idempotent = random.nextDouble() >= load.nonIdempotentShare
                val dataCentre = dataCentres[random.nextInt(dataCentres.size)]
                val scheduled = due
                dispatched.launch { call(load.service, call, idempotent, dataCentre, scheduled) }
            }
        }

    private suspend fun call(
        service: String,
        call: String,
        idempotent: Boolean,
        dataCentre: String,
        scheduled: Duration,
    ) {
        val entry = address(service, dataCentre)
        var code = 0
        var version = ""
        val view =
            if (entry == null) {
                CallerView.ENTRY_LOST
            } else {
                val answer = withTimeoutOrNull(CALLER_PATIENCE) { send(entry, service, call, idempotent) }
                code = answer?.code ?: 0
                version = answer?.version.orEmpty()
                answer?.view ?: CallerView.UNKNOWN
            }
        val latency = (elapsed - scheduled).inWholeMicroseconds
        records += CallRecord(service, call, idempotent, scheduled.inWholeMilliseconds, latency, view, code, version)
        if (view == CallerView.ENTRY_LOST) kept.remove(service to dataCentre)
    }

    private class Answer(
        val view: CallerView,
        val code: Int,
        val version: String = "",
    )

    private suspend fun send(
        entry: EntryAddress,
        service: String,
        call: String,
        idempotent: Boolean,
    ): Answer =
        try {
            val options = options(entry.address, "/$service/lookup").setMethod(if (idempotent) HttpMethod.GET else HttpMethod.POST)
            options.addHeader("call-id", call)
            if (!idempotent) options.addHeader(CallHeaders.IDEMPOTENCY_KEY, call)
            val response = send(options)
            val code = response.getHeader(CallHeaders.RESULT_CODE)?.toIntOrNull() ?: 0
            val body = response.body().coAwait().toString()
            val version = body.substringAfter("\"version\":\"", "").substringBefore('"')
            Answer(view(response.statusCode(), code, body, call), code, version)
        } catch (_: IOException) {
            Answer(CallerView.ENTRY_LOST, 0)
        } catch (_: VertxException) {
            Answer(CallerView.ENTRY_LOST, 0)
        }

    private fun view(
        status: Int,
        code: Int,
        body: String,
        call: String,
    ): CallerView =
        when {
            code in NOT_RUN_CODES -> CallerView.NOT_RUN
            code != 0 -> CallerView.UNKNOWN
            status != OK -> CallerView.FAILED
            body.contains("\"call\":\"$call\"") -> CallerView.ANSWERED
            else -> CallerView.FOREIGN
        }

    private suspend fun address(
        service: String,
        dataCentre: String,
    ): EntryAddress? {
        val known = kept[service to dataCentre]
        if (known != null && elapsed < known.second) return known.first.entries.pickNear(dataCentre)
        val fresh = ask(service, dataCentre) ?: return null
        kept[service to dataCentre] = fresh to (elapsed + fresh.lifetimeMilliseconds.milliseconds)
        return fresh.entries.pickNear(dataCentre)
    }

    private fun List<EntryAddress>.pickNear(dataCentre: String): EntryAddress? {
        val near = filter { it.dataCentre == dataCentre }.ifEmpty { this }
        return near.randomOrNull(random)
    }

    /** Asks the entry VMs in random order until one answers. */
    private suspend fun ask(
        service: String,
        dataCentre: String,
    ): AddressAnswer? {
        for (daemon in deployment.entries.values
            .shuffled(random)
            .take(ASK_ATTEMPTS)) {
            try {
                val options = options(daemon.callerAddress, "/entries?service=$service&data-centre=$dataCentre")
                val response = send(options)
                if (response.statusCode() != OK) continue
                return Json.decodeFromString(AddressAnswer.serializer(), response.body().coAwait().toString())
            } catch (_: IOException) {
                continue
            } catch (_: VertxException) {
                continue
            } catch (_: SerializationException) {
                continue
            }
        }
        return null
    }

    private suspend fun send(options: RequestOptions): HttpClientResponse = client.request(options).compose { it.send() }.coAwait()

    private fun options(
        address: String,
        uri: String,
    ): RequestOptions =
        RequestOptions()
            .setHost(address.substringBeforeLast(':'))
            .setPort(address.substringAfterLast(':').toInt())
            .setURI(uri)

    private companion object {
        const val CONNECT_MILLISECONDS = 500
        const val POOL_SIZE = 400
        const val OK = 200
        const val ASK_ATTEMPTS = 4
        val NOT_RUN_CODES = 2000..2999
        val CALLER_PATIENCE = 10.seconds
    }
}
