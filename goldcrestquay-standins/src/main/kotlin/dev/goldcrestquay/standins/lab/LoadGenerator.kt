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

/** The outcome of a call as seen by its caller. */
enum class CallerView {
    /** The complete answer to this call arrived. */
    ANSWERED,

    /** An answer of the target arrived, with a status other than 200. */
    FAILED,

    /** The answer that arrived does not carry the identifier of this call: it belongs to another call or is cut short. */
    FOREIGN,

    /** The call was refused with a result code that guarantees that it has not run. */
    NOT_RUN,

    /** Another result code or a timeout: the call may have run. */
    UNKNOWN,

    /** No address was found, or the connection to the entry VM failed. */
    ENTRY_LOST,
}

/**
 * One call as seen by its caller.
 *
 * @property callId the identifier of the call, sent in the header `call-id`.
 * @property scheduledMilliseconds when the call was due, in milliseconds since the start of the load.
 * @property latencyMicroseconds the time from when the call was due until it ended, including any delay in sending it.
 * @property code the result code of the entry VM, or 0 for none.
 * @property version the version of the target that answered, or an empty string.
 */
data class CallRecord(
    val service: String,
    val callId: String,
    val idempotent: Boolean,
    val scheduledMilliseconds: Long,
    val latencyMicroseconds: Long,
    val view: CallerView,
    val code: Int,
    val version: String,
)

/**
 * An open-loop load generator: it starts calls at scheduled times, whether or not earlier calls have ended.
 *
 * Like a caller, it queries entry VMs for addresses and caches the answer for its lifetime, or until a connection fails.
 */
class LoadGenerator(
    private val vertx: Vertx,
    private val deployment: Deployment,
    private val dataCentres: List<String>,
    seed: Long,
) {
    private val random = Random(seed)
    private val client =
        vertx.createHttpClient(
            HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS).setTcpNoDelay(true).setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
            PoolOptions().setHttp1MaxSize(CONNECTION_POOL_SIZE),
        )
    private val start = TimeSource.Monotonic.markNow()
    private val addressCache = mutableMapOf<Pair<String, String>, Pair<AddressAnswer, Duration>>()

    /** The calls that have ended, in the order of their ends. */
    val records = ConcurrentLinkedQueue<CallRecord>()

    /** The time since this load generator was created. */
    val elapsed: Duration get() = start.elapsedNow()

    /** Runs the load on one service for [duration], with exponentially distributed intervals, and waits until all its calls have ended. */
    suspend fun run(
        load: Load,
        duration: Duration,
    ): Unit =
        coroutineScope {
            val eventLoopScope = CoroutineScope(coroutineContext + vertx.dispatcher())
            var due = elapsed
            val end = due + duration
            var sequenceNumber = 0
            while (due < end) {
                due += (-ln(1.0 - random.nextDouble()) / load.callsPerSecond).seconds
                val wait = due - elapsed
                if (wait > 1.milliseconds) delay(wait)
                val callId = "${load.service}-${sequenceNumber++}"
                val idempotent = random.nextDouble() >= load.nonIdempotentShare
                val dataCentre = dataCentres[random.nextInt(dataCentres.size)]
                val scheduled = due
                eventLoopScope.launch { sendCall(load.service, callId, idempotent, dataCentre, scheduled) }
            }
        }

    private suspend fun sendCall(
        service: String,
        callId: String,
        idempotent: Boolean,
        dataCentre: String,
        scheduled: Duration,
    ) {
        val entry = entryAddress(service, dataCentre)
        var code = 0
        var version = ""
        val callerView =
            if (entry == null) {
                CallerView.ENTRY_LOST
            } else {
                val answer = withTimeoutOrNull(CALL_TIMEOUT) { send(entry, service, callId, idempotent) }
                code = answer?.code ?: 0
                version = answer?.version.orEmpty()
                answer?.view ?: CallerView.UNKNOWN
            }
        val latency = (elapsed - scheduled).inWholeMicroseconds
        records += CallRecord(service, callId, idempotent, scheduled.inWholeMilliseconds, latency, callerView, code, version)
        if (callerView == CallerView.ENTRY_LOST) addressCache.remove(service to dataCentre)
    }

    private class Answer(
        val view: CallerView,
        val code: Int,
        val version: String = "",
    )

    private suspend fun send(
        entry: EntryAddress,
        service: String,
        callId: String,
        idempotent: Boolean,
    ): Answer =
        try {
            val options = requestOptions(entry.address, "/$service/lookup").setMethod(if (idempotent) HttpMethod.GET else HttpMethod.POST)
            options.addHeader("call-id", callId)
            if (!idempotent) options.addHeader(CallHeaders.IDEMPOTENCY_KEY, callId)
            val response = send(options)
            val code = response.getHeader(CallHeaders.RESULT_CODE)?.toIntOrNull() ?: 0
            val body = response.body().coAwait().toString()
            val version = body.substringAfter("\"version\":\"", "").substringBefore('"')
            Answer(classify(response.statusCode(), code, body, callId), code, version)
        } catch (_: IOException) {
            Answer(CallerView.ENTRY_LOST, 0)
        } catch (_: VertxException) {
            Answer(CallerView.ENTRY_LOST, 0)
        }

    private fun classify(
        status: Int,
        code: Int,
        body: String,
        callId: String,
    ): CallerView =
        when {
            code in NOT_RUN_CODES -> CallerView.NOT_RUN
            code != 0 -> CallerView.UNKNOWN
            status != OK -> CallerView.FAILED
            body.contains("\"call\":\"$callId\"") -> CallerView.ANSWERED
            else -> CallerView.FOREIGN
        }

    private suspend fun entryAddress(
        service: String,
        dataCentre: String,
    ): EntryAddress? {
        val cached = addressCache[service to dataCentre]
        if (cached != null && elapsed < cached.second) return cached.first.entries.pickEntry(dataCentre)
        val fresh = queryAddresses(service, dataCentre) ?: return null
        addressCache[service to dataCentre] = fresh to (elapsed + fresh.lifetimeMilliseconds.milliseconds)
        return fresh.entries.pickEntry(dataCentre)
    }

    private fun List<EntryAddress>.pickEntry(preferredDataCentre: String): EntryAddress? {
        val candidates = filter { it.dataCentre == preferredDataCentre }.ifEmpty { this }
        return candidates.randomOrNull(random)
    }

    /** Queries up to [ADDRESS_QUERY_ATTEMPTS] entry VMs in random order until one answers; null if none does. */
    private suspend fun queryAddresses(
        service: String,
        dataCentre: String,
    ): AddressAnswer? {
        for (daemon in deployment.entries.values
            .shuffled(random)
            .take(ADDRESS_QUERY_ATTEMPTS)) {
            try {
                val options = requestOptions(daemon.callerAddress, "/entries?service=$service&data-centre=$dataCentre")
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

    private fun requestOptions(
        address: String,
        uri: String,
    ): RequestOptions =
        RequestOptions()
            .setHost(address.substringBeforeLast(':'))
            .setPort(address.substringAfterLast(':').toInt())
            .setURI(uri)

    private companion object {
        const val CONNECT_TIMEOUT_MILLISECONDS = 500
        const val KEEP_ALIVE_SECONDS = 2
        const val CONNECTION_POOL_SIZE = 400
        const val OK = 200
        const val ADDRESS_QUERY_ATTEMPTS = 4
        val NOT_RUN_CODES = 2000..2999
        val CALL_TIMEOUT = 10.seconds
    }
}
