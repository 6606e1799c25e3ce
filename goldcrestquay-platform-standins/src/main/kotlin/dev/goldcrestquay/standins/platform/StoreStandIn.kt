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

/** What goes wrong with one call to the store. */
enum class StoreFault {
    /** The call is refused and nothing is done. */
    REFUSED,

    /** The call is done and its answer never comes. */
    ANSWER_LOST,

    /** Nothing is done and no answer comes. */
    SILENT,
}

/** The platform's store: topics of keyed records, one partition each, in memory. */
class StoreStandIn(
    private val vertx: Vertx,
    private val pageSize: Int = 500,
) {
    private class Entry(
        val key: String,
        val value: ByteArray?,
    )

    private class Topic {
        val records = mutableListOf<Entry>()
        var first = 0
        val waiting = mutableListOf<() -> Unit>()
    }

    private val topics = HashMap<String, Topic>()
    private lateinit var server: HttpServer

    /** Decides what goes wrong with a call, by its path. */
    var fault: (path: String) -> StoreFault? = { null }

    /** The calls so far, by path. */
    val calls = HashMap<String, Int>()

    /** Where the store listens. */
    val port: Int get() = server.actualPort()

    /** Listens on a free port of loopback. */
    suspend fun start() {
        server = vertx.serveOnLoopback(::handle)
    }

    /** Writes a record as an operator or a target would; a null [value] removes the key. */
    fun write(
        topic: String,
        key: String,
        value: String?,
    ): Int = writeBytes(topic, key, value?.encodeToByteArray())

    /** Writes raw bytes under a key. */
    fun writeBytes(
        topic: String,
        key: String,
        value: ByteArray?,
    ): Int {
        val target = topic(topic)
        synchronized(target) {
            target.records += Entry(key, value?.takeIf { it.isNotEmpty() })
            val waiting = target.waiting.toList()
            target.waiting.clear()
            waiting.forEach { it() }
            return target.records.size - 1
        }
    }

    /** The newest value of a key, or null. */
    fun newest(
        topic: String,
        key: String,
    ): String? =
        topic(topic)
            .records
            .lastOrNull { it.key == key }
            ?.value
            ?.decodeToString()

    /** Forgets all records but the newest of each key. */
    fun compact(topic: String) {
        topic(topic).run { first = records.size }
    }

    private fun topic(name: String): Topic = synchronized(topics) { topics.getOrPut(name) { Topic() } }

    private fun handle(request: HttpServerRequest) {
        synchronized(calls) { calls.merge(request.path(), 1, Int::plus) }
        when (fault(request.path())) {
            StoreFault.REFUSED -> request.response().setStatusCode(503).end()
            StoreFault.SILENT -> Unit
            StoreFault.ANSWER_LOST -> serve(request) { }
            null -> serve(request) { it() }
        }
    }

    private fun serve(
        request: HttpServerRequest,
        answer: (() -> Unit) -> Unit,
    ) {
        val topic = topic(request.getParam("topic"))
        when (request.path()) {
            "/log-append" -> append(request, topic, answer)
            "/log-read" -> read(request, topic, answer)
            "/log-newest" -> answer { newestPage(request, topic) }
            else -> answer { request.response().setStatusCode(404).end() }
        }
    }

    private fun append(
        request: HttpServerRequest,
        topic: Topic,
        answer: (() -> Unit) -> Unit,
    ) {
        val at = request.getParam("at")?.toInt()
        request.body().onSuccess { body ->
            val end = synchronized(topic) { topic.records.size }
            if (at != null && at != end) {
                answer { request.response().setStatusCode(412).end("""{"end":$end}""") }
                return@onSuccess
            }
            val buffer = ByteBuffer.wrap(body.bytes)
            while (buffer.hasRemaining()) {
                val content = ByteArray(buffer.getInt()).also { buffer.get(it) }
                val keyLength = content[0].toUByte().toInt()
                val value = content.copyOfRange(1 + keyLength, content.size)
                writeBytes(request.getParam("topic"), content.decodeToString(1, 1 + keyLength), value)
            }
            answer { request.response().end("""{"offset":$end,"end":${topic.records.size}}""") }
        }
    }

    private fun read(
        request: HttpServerRequest,
        topic: Topic,
        answer: (() -> Unit) -> Unit,
    ) {
        val from = request.getParam("from").toInt()
        val wait = request.getParam("wait_ms")?.toLong() ?: 0
        if (from < topic.first) {
            answer { request.response().setStatusCode(410).end("""{"first":${topic.first}}""") }
            return
        }
        var done = false
        val finish = {
            if (!done) {
                done = true
                answer { request.response().end(records(topic, from)) }
            }
        }
        synchronized(topic) {
            if (topic.records.size > from || wait == 0L) return finish()
            topic.waiting += finish
        }
        vertx.setTimer(wait) { finish() }
    }

    private fun records(
        topic: Topic,
        from: Int,
    ): Buffer {
        val buffer = Buffer.buffer().appendLong(topic.records.size.toLong()).appendLong(topic.first.toLong())
        topic.records.drop(from).forEach { entry ->
            val key = entry.key.encodeToByteArray()
            val value = entry.value ?: ByteArray(0)
            buffer
                .appendInt(1 + key.size + value.size)
                .appendByte(key.size.toByte())
                .appendBytes(key)
                .appendBytes(value)
        }
        return buffer
    }

    private fun newestPage(
        request: HttpServerRequest,
        topic: Topic,
    ) {
        val after = request.getParam("after").orEmpty()
        val newest = LinkedHashMap<String, Int>()
        topic.records.forEachIndexed { offset, entry -> newest[entry.key] = offset }
        val live = newest.filter { topic.records[it.value].value != null }.toSortedMap().filter { it.key > after }
        val page = live.entries.take(pageSize)
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
                put("has_more", live.size > page.size)
                put("end", topic.records.size)
            }
        request.response().putHeader("Content-Type", "application/json").end(body.toString())
    }
}
