package dev.goldcrestquay.standins.platform

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import java.nio.ByteBuffer
import java.util.Base64

/** How one call to the store fails. */
enum class StoreFault {
    /** The store responds with 503 and does not process the call. */
    REFUSED,

    /** The store processes the call and never responds. */
    ANSWER_LOST,

    /** The store neither processes the call nor responds. */
    SILENT,

    /** The store responds with 200 and bytes that are no page and no records. */
    MALFORMED,
}

/**
 * In-memory stand-in of the platform's store: an append-only log of keyed records over HTTP, with one partition per topic.
 *
 * @property pageSize the maximum number of records in one response to `/log-newest`.
 */
class StoreStandIn(
    private val vertx: Vertx,
    private val pageSize: Int = 500,
) {
    private class Record(
        val key: String,
        val value: ByteArray?,
    )

    private class Topic {
        val records = mutableListOf<Record>()

        /** The lowest offset that a read may start from. */
        var firstOffset = 0

        /** Callbacks that respond to held reads once a record is written. */
        val longPolls = mutableListOf<() -> Unit>()
    }

    private companion object {
        /** Neither JSON nor a whole record: its first bytes are offsets, and the length that follows is negative. */
        val MALFORMED_BODY = ByteArray(20) { -1 }
    }

    private val topics = HashMap<String, Topic>()
    private lateinit var server: HttpServer

    /** Decides how a call to a path fails; null when the call is served. */
    var fault: (path: String) -> StoreFault? = { null }

    /** Whether the store answers 404 for a topic until a record is written to it. */
    var hidesEmpty: (topic: String) -> Boolean = { false }

    /** Rises by one with each [restore]; every response states it. */
    private var epoch = 1

    /** The number of calls received so far, by path. */
    val callsByPath = HashMap<String, Int>()

    /** The names of the topics that were read or written so far. */
    val topicNames: Set<String> get() = synchronized(topics) { topics.keys.toSet() }

    /** The port on `127.0.0.1` that the store listens on; valid after [start]. */
    val port: Int get() = server.actualPort()

    /** Starts listening on a free port of `127.0.0.1`. */
    suspend fun start() {
        server = vertx.serveOnLoopback(::handle)
    }

    /** Appends a record, as an operator or a target would; a null [value] removes [key]. Returns the offset of the record. */
    fun write(
        topic: String,
        key: String,
        value: String?,
    ): Int = writeBytes(topic, key, value?.encodeToByteArray())

    /** Appends a record with a value of any bytes; a null or empty [value] removes [key]. Returns the offset of the record. */
    fun writeBytes(
        topic: String,
        key: String,
        value: ByteArray?,
    ): Int {
        val destination = topic(topic)
        synchronized(destination) {
            destination.records += Record(key, value?.takeIf { it.isNotEmpty() })
            val longPolls = destination.longPolls.toList()
            destination.longPolls.clear()
            longPolls.forEach { it() }
            return destination.records.size - 1
        }
    }

    /** Returns the newest value of [key] as text, or null when [topic] has none. */
    fun newestValue(
        topic: String,
        key: String,
    ): String? =
        topic(topic)
            .records
            .lastOrNull { it.key == key }
            ?.value
            ?.decodeToString()

    /** Returns to a copy that has only the first [size] records of [topic], as after a restore from a backup. */
    fun restore(
        topic: String,
        size: Int,
    ) {
        topic(topic).run { synchronized(this) { records.subList(size, records.size).clear() } }
        epoch++
    }

    /** Simulates compaction: `/log-read` no longer accepts offsets before the current end, while `/log-newest` still returns all keys. */
    fun compact(topic: String) {
        topic(topic).run { firstOffset = records.size }
    }

    private fun topic(name: String): Topic = synchronized(topics) { topics.getOrPut(name) { Topic() } }

    private fun handle(request: HttpServerRequest) {
        request.response().putHeader("Store-Era", epoch.toString())
        synchronized(callsByPath) { callsByPath.merge(request.path(), 1, Int::plus) }
        when (fault(request.path())) {
            StoreFault.REFUSED -> request.response().setStatusCode(503).end()
            StoreFault.SILENT -> Unit
            StoreFault.MALFORMED -> request.response().end(Buffer.buffer(MALFORMED_BODY))
            StoreFault.ANSWER_LOST -> serve(request) { }
            null -> serve(request) { it() }
        }
    }

    /** Processes a call; [send] gets the function that sends the response and may leave it uncalled. */
    private fun serve(
        request: HttpServerRequest,
        send: (() -> Unit) -> Unit,
    ) {
        val topic = topic(request.getParam("topic"))
        val isHidden = topic.records.isEmpty() && request.path() != "/log-append" && hidesEmpty(request.getParam("topic"))
        if (isHidden) return send { request.response().setStatusCode(404).end() }
        when (request.path()) {
            "/log-append" -> append(request, topic, send)
            "/log-read" -> read(request, topic, send)
            "/log-newest" -> send { respondWithNewestPage(request, topic) }
            else -> send { request.response().setStatusCode(404).end() }
        }
    }

    /**
     * Appends the records of the body; responds with 412 instead when parameter `at` is given and is not the end of the topic.
     *
     * A record is a big-endian length of four bytes, then a length byte of the key, the key and the value; the first length covers
     * all that follows it.
     */
    private fun append(
        request: HttpServerRequest,
        topic: Topic,
        send: (() -> Unit) -> Unit,
    ) {
        val expectedEnd = request.getParam("at")?.toInt()
        request.body().onSuccess { body ->
            val end = synchronized(topic) { topic.records.size }
            if (expectedEnd != null && expectedEnd != end) {
                send { request.response().setStatusCode(412).end("""{"end":$end}""") }
                return@onSuccess
            }
            val buffer = ByteBuffer.wrap(body.bytes)
            while (buffer.hasRemaining()) {
                val content = ByteArray(buffer.getInt()).also { buffer.get(it) }
                val keyLength = content[0].toUByte().toInt()
                val value = content.copyOfRange(1 + keyLength, content.size)
                writeBytes(request.getParam("topic"), content.decodeToString(1, 1 + keyLength), value)
            }
            send { request.response().end("""{"offset":$end,"end":${topic.records.size}}""") }
        }
    }

    /**
     * Responds with the records from offset `from` on; when there are none, holds the response until a record is written, for at most
     * `wait_ms` milliseconds. Responds with 410 when `from` is before the lowest readable offset or after the end.
     */
    private fun read(
        request: HttpServerRequest,
        topic: Topic,
        send: (() -> Unit) -> Unit,
    ) {
        val fromOffset = request.getParam("from").toInt()
        val waitMilliseconds = request.getParam("wait_ms")?.toLong() ?: 0
        if (fromOffset < topic.firstOffset || fromOffset > topic.records.size) {
            send { request.response().setStatusCode(410).end("""{"first":${topic.firstOffset}}""") }
            return
        }
        var hasResponded = false
        val respondOnce = {
            if (!hasResponded) {
                hasResponded = true
                send { request.response().end(encodeRecords(topic, fromOffset)) }
            }
        }
        synchronized(topic) {
            if (topic.records.size > fromOffset || waitMilliseconds == 0L) return respondOnce()
            topic.longPolls += respondOnce
        }
        vertx.setTimer(waitMilliseconds) { respondOnce() }
    }

    /** Encodes the end of the topic, the lowest readable offset, and the records in the format that [append] reads. */
    private fun encodeRecords(
        topic: Topic,
        fromOffset: Int,
    ): Buffer {
        val buffer = Buffer.buffer().appendLong(topic.records.size.toLong()).appendLong(topic.firstOffset.toLong())
        topic.records.drop(fromOffset).forEach { record ->
            val key = record.key.encodeToByteArray()
            val value = record.value ?: ByteArray(0)
            buffer
                .appendInt(1 + key.size + value.size)
                .appendByte(key.size.toByte())
                .appendBytes(key)
                .appendBytes(value)
        }
        return buffer
    }

    /** Responds with the newest records of the keys that sort after parameter `after`, without removed keys. */
    private fun respondWithNewestPage(
        request: HttpServerRequest,
        topic: Topic,
    ) {
        val after = request.getParam("after").orEmpty()
        val newestOffsets = LinkedHashMap<String, Int>()
        topic.records.forEachIndexed { offset, record -> newestOffsets[record.key] = offset }
        val remaining = newestOffsets.filter { topic.records[it.value].value != null }.toSortedMap().filter { it.key > after }
        val page = remaining.entries.take(pageSize)
        val body =
            buildJsonObject {
                putJsonArray("items") {
                    page.forEach { (key, offset) ->
                        addJsonObject {
                            put("key", key)
                            put("value", Base64.getEncoder().encodeToString(topic.records[offset].value))
                            put("offset", offset)
                        }
                    }
                }
                put("has_more", remaining.size > page.size)
                put("end", topic.records.size)
            }
        request.response().putHeader("Content-Type", "application/json").end(body.toString())
    }
}
