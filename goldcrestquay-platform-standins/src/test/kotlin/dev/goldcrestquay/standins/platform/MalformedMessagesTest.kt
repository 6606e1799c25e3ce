package dev.goldcrestquay.standins.platform

import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.io.IOException
import java.net.Socket
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One malformed message or unexpected value at any entrance must not stop an entry VM or one of its loops. */
class MalformedMessagesTest {
    private val entryVm = LoopbackEntryVm()
    private val target = TargetStandIn(entryVm.vertx, "i-0")
    private val random = Random(20)

    @AfterEach
    fun close() = entryVm.close()

    private fun test(body: suspend () -> Unit): Unit =
        runBlocking {
            withTimeout(45.seconds) {
                target.start()
                entryVm.start(mapOf(target.id to target.heartbeat("shop")))
                body()
                assertServes()
            }
        }

    /** Checks that requests are answered and that a new plan still gets in force. */
    private suspend fun assertServes() {
        entryVm.call("/unsafe/x", HttpMethod.POST, "order", id = "last").statusCode() shouldBe 200
        target.executed.filter { it.id == "last" } shouldHaveSize 1
        entryVm.store.write("keyed.op", "config", DeploymentDocuments.plan(version = 1_000_000, service = "gone"))
        entryVm.waitUntil { entryVm.call("/safe/x").statusCode() == 503 }
    }

    /** Returns [valid] cut short, with other bytes in it, nested deeply, or with a value of another type. */
    private fun mutate(valid: String): ByteArray {
        val bytes = valid.encodeToByteArray()
        return when (random.nextInt(7)) {
            0 -> bytes.copyOf(random.nextInt(bytes.size))
            1 -> bytes.also { it[random.nextInt(it.size)] = random.nextInt().toByte() }
            2 -> random.nextBytes(random.nextInt(1, 300))
            3 -> ("[".repeat(NESTING) + valid).encodeToByteArray()
            4 -> ("{\"a\":".repeat(NESTING) + valid).encodeToByteArray()
            5 -> replaceEach(valid, Regex(":[0-9]+"), ODD_NUMBERS)
            else -> replaceEach(valid, Regex(":\"[^\"]*\""), ODD_TEXTS)
        }
    }

    private fun replaceEach(
        valid: String,
        pattern: Regex,
        values: List<String>,
    ): ByteArray = valid.replace(pattern) { ":" + values.random(random) }.encodeToByteArray()

    private suspend fun send(
        port: Int,
        bytes: ByteArray,
    ) = withContext(Dispatchers.IO) {
        try {
            Socket(LoopbackEntryVm.HOST, port).use {
                it.soTimeout = READ_TIMEOUT_MILLISECONDS
                it.getOutputStream().write(bytes)
                it.shutdownOutput()
                it.getInputStream().readAllBytes()
            }
        } catch (_: IOException) {
            // The entry VM may close the connection at any byte.
        }
    }

    private fun post(
        path: String,
        body: ByteArray,
    ) = "POST $path HTTP/1.1\r\nHost: shop.example\r\nContent-Length: ${body.size}\r\n\r\n".encodeToByteArray() + body

    @Test
    fun `callers and other clients`() =
        test {
            val valid =
                "POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\nGoldcrestquay-Request-Id: r\r\nGoldcrestquay-Deadline-Ms: 100\r\n" +
                    "Content-Length: 5\r\n\r\norder"
            val ports = listOf(0, READY_PORT_OFFSET, CONTROL_PORT_OFFSET, DIRECTORY_PORT_OFFSET).map { entryVm.firstPort + it }
            repeat(60) { send(ports.random(random), mutate(valid)) }
            listOf("-1", "99999999999999999999", "NaN", "0").forEach {
                send(entryVm.firstPort, valid.replace("Deadline-Ms: 100", "Deadline-Ms: $it").encodeToByteArray())
            }
            send(entryVm.firstPort, valid.replace("Host: shop.example", "Host: shop.example\r\nX-Odd: \u0001\u007f").encodeToByteArray())
            send(entryVm.firstPort, valid.replace("/unsafe/x", "/unsafe/%zz?\u0001").encodeToByteArray())
        }

    @Test
    fun `exchange requests of peers`() =
        test {
            val address = """{"host":"127.0.0.1","port":7}"""
            val valid =
                """{"sender":{"name":"peer","incarnation":5,"dataCentre":"north","callerAddress":$address,"peerAddress":$address,""" +
                    """"accepting":false},"known":null,"holdMilliseconds":0,"heard":[],"evidence":{},"isReader":false}"""
            repeat(60) { send(entryVm.firstPort + CONTROL_PORT_OFFSET, post("/exchange", mutate(valid))) }
        }

    @Test
    fun `records of the store`() =
        test {
            val plan = DeploymentDocuments.plan(version = 2)
            val order = """{"service":"a","target_version":"v2","duration":"12s"}"""
            repeat(150) {
                entryVm.store.writeBytes("keyed.servers", "other-$it", mutate(target.heartbeat("shop").replace("shop", "elsewhere")))
                entryVm.store.writeBytes("keyed.op", "rollout/other-$it", mutate(order))
                entryVm.store.writeBytes("keyed.op", "unknown/$it", mutate(plan))
            }
            // A malformed plan leaves the one in force; a readable one with an odd value may be in force until the last one.
            repeat(20) { entryVm.store.writeBytes("keyed.op", "config", mutate(plan)) }
            entryVm.store.write("keyed.op", "config", DeploymentDocuments.plan(version = 500_000))
            entryVm.waitUntil {
                entryVm.node.gateway.state.routes
                    ?.plan
                    ?.version == 500_000L
            }
        }

    @Test
    fun `responses of the store`() =
        test {
            entryVm.store.fault = { StoreFault.MALFORMED }
            delay(2500.milliseconds)
            entryVm.store.fault = { null }
        }

    private companion object {
        const val NESTING = 20_000
        val ODD_NUMBERS = listOf("-1", "1e99", "null", "\"x\"", "[]", "99999999999999999999")
        val ODD_TEXTS = listOf("7", "null", "{}", "\"\"", "\"\u0000\"")
        const val READ_TIMEOUT_MILLISECONDS = 300
    }
}
