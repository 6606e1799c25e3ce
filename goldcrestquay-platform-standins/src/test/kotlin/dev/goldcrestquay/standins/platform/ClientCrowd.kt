package dev.goldcrestquay.standins.platform

import kotlinx.coroutines.delay
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

private const val KIBIBYTE = 1024
private const val MEBIBYTE = 1024 * KIBIBYTE

private fun head(vararg lines: String): String =
    (listOf("POST /upload/x HTTP/1.1", "Host: shop.example", "Goldcrestquay-Deadline-Ms: 30000") + lines).joinToString("") { "$it\r\n" }

private fun chunk(size: Int): String = "${size.toString(radix = 16)}\r\n${"x".repeat(size)}\r\n"

/**
 * What each client of a crowd sends: [start] once, then [piece] until [bytes] follow it; it doesn't read, and stays open.
 *
 * @property end what every tenth client of the crowd, or each one if [doAllEnd], sends once all clients have sent the rest; empty for none.
 */
internal enum class ClientLoad(
    val clients: Int,
    val start: String,
    val piece: String,
    val bytes: Int,
    val end: String = "",
    val doAllEnd: Boolean = false,
) {
    HEADS_WITHOUT_END(clients = 100, start = head(), piece = "a:\r\n".repeat(256), bytes = 4 * MEBIBYTE),
    HEADS_THAT_STOP(clients = 200, start = head(), piece = "a:\r\n".repeat(256), bytes = 15 * KIBIBYTE),
    LINES_WITHOUT_END(clients = 450, start = "${head()}a: ", piece = "x".repeat(KIBIBYTE), bytes = 4 * MEBIBYTE),
    LINES_THAT_STOP(clients = 800, start = "${head()}a: ", piece = "x".repeat(KIBIBYTE), bytes = 60 * KIBIBYTE),
    EMPTY_LINES(clients = 500, start = "\r\n", piece = "\r\n".repeat(512), bytes = MEBIBYTE),
    BODIES(
        clients = 100,
        start = head("Content-Length: $MEBIBYTE\r\n"),
        piece = "x".repeat(64 * KIBIBYTE - 1),
        bytes = 16 * (64 * KIBIBYTE - 1),
        end = "x".repeat(16),
    ),
    BODIES_BY_PIECES(
        clients = 400,
        start = head("Content-Length: ${256 * KIBIBYTE}\r\n"),
        piece = "x".repeat(KIBIBYTE - 1),
        bytes = 256 * (KIBIBYTE - 1),
        end = "x".repeat(256),
    ),
    LARGE_CHUNKS(
        clients = 100,
        start = head("Transfer-Encoding: chunked\r\n"),
        piece = chunk(64 * KIBIBYTE),
        bytes = MEBIBYTE,
        end = "0\r\n\r\n",
    ),
    SMALL_CHUNKS(
        clients = 300,
        start = head("Transfer-Encoding: chunked\r\n"),
        piece = chunk(1).repeat(200),
        bytes = MEBIBYTE,
        end = "0\r\n\r\n",
    ),
    WHOLE_BODIES(
        clients = 40,
        start = head("Content-Length: ${MEBIBYTE + 1}\r\n"),
        piece = "x".repeat(64 * KIBIBYTE),
        bytes = MEBIBYTE,
        end = "x",
        doAllEnd = true,
    ),
}

/** Clients that nobody controls, which send [load] to [address]; blocking sockets, one thread each. */
internal class ClientCrowd(
    private val load: ClientLoad,
    private val address: EntryVmAddress,
) : AutoCloseable {
    private val sockets = ConcurrentLinkedQueue<Socket>()
    private val sentBytes = AtomicLong()
    private val isComplete = CountDownLatch(1)

    fun start() = repeat(load.clients) { number -> thread(isDaemon = true) { send(number) } }

    private fun send(number: Int) {
        try {
            val socket = Socket(address.host, address.firstPort).also { sockets += it }
            val output = socket.getOutputStream()
            val piece = load.piece.encodeToByteArray()
            output.write(load.start.encodeToByteArray())
            repeat((load.bytes + piece.size - 1) / piece.size) {
                output.write(piece)
                sentBytes.addAndGet(piece.size.toLong())
            }
            isComplete.await()
            if (load.doAllEnd || number % ENDING_SHARE == 0) output.write(load.end.encodeToByteArray())
        } catch (_: IOException) {
            // The entry VM may close the connection of such a client.
        }
    }

    /** Waits until no client gets rid of any more bytes. */
    suspend fun awaitQuiet() {
        var before = -1L
        while (sentBytes.get() != before) {
            before = sentBytes.get()
            delay(QUIET_TIME)
        }
    }

    /** Has the clients that end their request do so. */
    suspend fun end() {
        isComplete.countDown()
        delay(QUIET_TIME)
    }

    override fun close() {
        isComplete.countDown()
        sockets.forEach { it.close() }
    }

    private companion object {
        const val ENDING_SHARE = 10
        val QUIET_TIME = 2.seconds
    }
}
