package dev.goldcrestquay.standins.platform

import com.github.michaelbull.result.getOrElse
import dev.goldcrestquay.http.edge.GatewayReports
import dev.goldcrestquay.link.asClock
import dev.goldcrestquay.platform.PlatformNode
import dev.goldcrestquay.platform.PlatformSettings
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClosedException
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Tests what callers and targets observe of one entry VM, over loopback sockets. */
class EdgeContractTest {
    private val vertx = Vertx.vertx()
    private val store = StoreStandIn(vertx)
    private val targets = List(3) { TargetStandIn(vertx, "i-$it") }
    private val client = WebClient.create(vertx)
    private val requestCount = AtomicInteger()
    private var firstPort = 0
    private lateinit var node: PlatformNode

    /** Runs [test] against a ready entry VM with a plan and three targets. */
    private fun withEntryVm(
        machine: String? = null,
        test: suspend () -> Unit,
    ) = runBlocking {
        withTimeout(TEST_TIMEOUT) {
            store.start()
            store.write("keyed.op", "config", DeploymentDocuments.plan(version = 1))
            targets.forEach {
                it.start()
                store.write("keyed.servers", it.id, it.heartbeat("shop"))
            }
            firstPort = findFreePorts()
            val document = DeploymentDocuments.settings("entry", firstPort, store.port, machine = machine)
            val settings = PlatformSettings.read(document).getOrElse { error(it) }
            val context = vertx.orCreateContext
            node = PlatformNode(vertx, context, settings, TimeSource.Monotonic.asClock(), noReports, Random(1))
            withContext(context.dispatcher()) { node.start() }
            waitUntil {
                client
                    .get(firstPort + READY_PORT_OFFSET, HOST, "/ready")
                    .send()
                    .coAwait()
                    .statusCode() == 200
            }
            test()
        }
    }

    @AfterEach
    fun close() {
        vertx
            .close()
            .toCompletionStage()
            .toCompletableFuture()
            .join()
    }

    private suspend fun waitUntil(condition: suspend () -> Boolean) {
        while (!condition()) delay(POLL_INTERVAL)
    }

    private suspend fun call(
        path: String,
        method: HttpMethod = HttpMethod.GET,
        body: String = "",
        id: String = "r-${requestCount.incrementAndGet()}",
        deadlineMilliseconds: Long = 1500,
        port: Int = firstPort,
    ): HttpResponse<Buffer> =
        client
            .request(method, port, HOST, path)
            .putHeader("Host", "shop.example")
            .putHeader("Goldcrestquay-Request-Id", id)
            .putHeader("Goldcrestquay-Deadline-Ms", deadlineMilliseconds.toString())
            .sendBuffer(Buffer.buffer(body))
            .coAwait()

    private val allExecuted get() = targets.flatMap { it.executed }

    @Test
    fun `a request reaches exactly one target, and request and response are forwarded unchanged`() =
        withEntryVm {
            val response = call("/unsafe/order?x=%20y", HttpMethod.POST, "one tile", id = "abc")
            response.statusCode() shouldBe 200
            response.bodyAsString() shouldBe TargetStandIn.defaultResponseBody("abc")
            response.getHeader("Goldcrestquay-Server-Seal") shouldNotBe null
            val received = allExecuted.single()
            received.copy(targetInstance = null, deadlineMilliseconds = null) shouldBe
                ReceivedRequest("abc", null, null, "POST", "/unsafe/order?x=%20y", "one tile")
            received.deadlineMilliseconds!!.toInt() shouldBeInRange 1..1500
            targets.map { it.id } shouldContain received.targetInstance
        }

    @Test
    fun `a large request body reaches the target complete`() =
        withEntryVm {
            val body = "p".repeat(400_000)
            call("/upload/photo", HttpMethod.POST, body).statusCode() shouldBe 200
            allExecuted.single().body shouldBe body
        }

    /** Guards against uploads that are denied although the plan allows their size. */
    @Test
    fun `a request body within the plan's limit and the memory left reaches the target complete`() =
        withEntryVm {
            val body = "p".repeat(20_000_000)
            call("/upload/photo", HttpMethod.POST, body, deadlineMilliseconds = 10_000).statusCode() shouldBe 200
            (allExecuted.single().body == body) shouldBe true
        }

    @Test
    fun `a request body over the plan's limit is denied, and one that only lacks memory is refused for now`() =
        withEntryVm(machine = """{"memory_mb":100}""") {
            statusOfAnnouncedBody(67_108_865) shouldBe "413"
            statusOfAnnouncedBody(67_108_864) shouldBe "503"
            allExecuted.shouldBeEmpty()
        }

    /** Sends the head of a request only: one that can't be served is refused before its body. */
    private suspend fun statusOfAnnouncedBody(bytes: Int): String =
        withContext(Dispatchers.IO) {
            Socket(HOST, firstPort).use { socket ->
                val head = "POST /upload/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: $bytes\r\n\r\n"
                socket.getOutputStream().write(head.encodeToByteArray())
                socket
                    .getInputStream()
                    .bufferedReader()
                    .readLine()
                    .split(' ')[1]
            }
        }

    @Test
    fun `a large response reaches the caller complete, and a truncated one closes the connection`() =
        withEntryVm {
            val body = "t".repeat(2_000_000)
            targets.forEach { it.responseBody = { body } }
            call("/unsafe/x", HttpMethod.POST, "order").bodyAsString() shouldBe body
            targets.forEach { it.responseMode = { ResponseMode.TRUNCATE } }
            shouldThrow<HttpClosedException> { call("/unsafe/x", HttpMethod.POST, "order") }
            allExecuted shouldHaveSize 2
        }

    @Test
    fun `a request that arrives before the store has been read waits for the plan`() =
        withEntryVm {
            val lateNode = PlatformNode(vertx, vertx.orCreateContext, lateSettings(), TimeSource.Monotonic.asClock(), noReports, Random(2))
            store.fault = { if (it == "/log-newest") StoreFault.REFUSED else null }
            withContext(vertx.orCreateContext.dispatcher()) { lateNode.start() }
            kotlinx.coroutines.coroutineScope {
                val response = async { call("/safe/x", port = latePort) }
                // The first load of each entry VM makes three calls, one per feed; a seventh call is a retry.
                waitUntil { (store.callsByPath["/log-newest"] ?: 0) > 6 }
                store.fault = { null }
                response.await().statusCode() shouldBe 200
            }
        }

    private var latePort = 0
    private val noReports = GatewayReports({ }, { }, { })

    private fun lateSettings(): PlatformSettings {
        latePort = findFreePorts()
        return PlatformSettings.read(DeploymentDocuments.settings("late", latePort, store.port)).getOrElse { error(it) }
    }

    @Test
    fun `a request without a route gets 404 and is not executed`() =
        withEntryVm {
            call("/none/").statusCode() shouldBe 404
            allExecuted.shouldBeEmpty()
        }

    @Test
    fun `an unsafe request that a target refused is retried and executed once`() =
        withEntryVm {
            val attempts = AtomicInteger()
            targets.forEach { it.responseMode = { if (attempts.getAndIncrement() == 0) ResponseMode.SHED else ResponseMode.ANSWER } }
            call("/unsafe/x", HttpMethod.POST, "order").statusCode() shouldBe 200
            allExecuted shouldHaveSize 1
        }

    @Test
    fun `a request that every target refuses gets 503 with a retry delay and is not executed`() =
        withEntryVm {
            targets.forEach { it.responseMode = { ResponseMode.SHED } }
            val response = call("/unsafe/x", HttpMethod.POST, "order")
            response.statusCode() shouldBe 503
            (response.getHeader("Retry-After").toDouble() > 0) shouldBe true
            allExecuted.shouldBeEmpty()
        }

    @Test
    fun `an unsafe request whose response is lost or truncated is executed once and gets 502`() =
        withEntryVm {
            listOf(ResponseMode.RUN_AND_RESET, ResponseMode.TRUNCATE).forEach { mode ->
                targets.forEach { target ->
                    target.executed.clear()
                    target.responseMode = { mode }
                }
                call("/unsafe/x", HttpMethod.POST, "order").statusCode() shouldBe 502
                allExecuted shouldHaveSize 1
            }
        }

    @ParameterizedTest
    @EnumSource(names = ["RUN_AND_RESET", "TRUNCATE", "FAIL"])
    fun `a safe request whose response is lost, truncated or failed is retried`(mode: ResponseMode) =
        withEntryVm {
            val attempts = AtomicInteger()
            targets.forEach { it.responseMode = { if (attempts.getAndIncrement() == 0) mode else ResponseMode.ANSWER } }
            call("/safe/x", id = "look").bodyAsString() shouldBe TargetStandIn.defaultResponseBody("look")
            allExecuted shouldHaveSize 2
        }

    @Test
    fun `a failure response of a target reaches the caller with its signature`() =
        withEntryVm {
            targets.forEach { it.responseMode = { ResponseMode.FAIL } }
            val response = call("/unsafe/x", HttpMethod.POST, "order", id = "f")
            response.statusCode() shouldBe 500
            response.getHeader("Goldcrestquay-Server-Seal") shouldNotBe null
        }

    @Test
    fun `a duplicate response to one request is never taken for the response to the next`() =
        withEntryVm {
            targets.forEach { it.responseMode = { ResponseMode.ANSWER_TWICE } }
            repeat(30) {
                val id = "twice-$it"
                call("/unsafe/x", HttpMethod.POST, "order", id).bodyAsString() shouldBe TargetStandIn.defaultResponseBody(id)
            }
            allExecuted shouldHaveSize 30
        }

    @Test
    fun `a request to a target that never responds gets 504 at its deadline`() =
        withEntryVm {
            targets.forEach { it.responseMode = { ResponseMode.HANG } }
            call("/unsafe/x", HttpMethod.POST, "order", deadlineMilliseconds = 300).statusCode() shouldBe 504
            allExecuted shouldHaveSize 1
        }

    @Test
    fun `a newer plan changes a route and an older plan changes nothing`() =
        withEntryVm {
            store.write("keyed.op", "config", DeploymentDocuments.plan(version = 5, service = "gone"))
            waitUntil { call("/safe/x").statusCode() == 503 }
            store.write("keyed.op", "config", DeploymentDocuments.plan(version = 3))
            store.write("keyed.op", "config", DeploymentDocuments.plan(version = 9, service = "shop"))
            waitUntil { call("/safe/x").statusCode() == 200 }
            node.gateway.state.routes
                ?.plan
                ?.version shouldBe 9
        }

    /** The plan after the restore has the offset of the one that the store lost. */
    @Test
    fun `a plan written after the store was restored changes a route`() =
        withEntryVm {
            store.write("keyed.op", "config", DeploymentDocuments.plan(version = 5, service = "gone"))
            waitUntil { call("/safe/x").statusCode() == 503 }
            store.restore("keyed.op", size = 1)
            store.write("keyed.op", "config", DeploymentDocuments.plan(version = 9, service = "shop"))
            waitUntil { call("/safe/x").statusCode() == 200 }
        }

    @Test
    fun `draining targets and targets of an evacuated data centre get no new requests`() =
        withEntryVm {
            store.write("keyed.servers", "i-0", targets[0].heartbeat("shop", state = "draining", sequence = 2))
            store.write("keyed.servers", "i-1", targets[1].heartbeat("shop", dataCentre = "south", sequence = 2))
            store.write("keyed.op", "evacuate/south", "{}")
            waitUntil {
                node.gateway.state
                    .evacuatedDataCentres()
                    .isNotEmpty() &&
                    !node.gateway.state.isReady("i-0")
            }
            targets.forEach { it.executed.clear() }
            delay(300.milliseconds)
            repeat(20) { call("/safe/x").statusCode() shouldBe 200 }
            allExecuted.map { it.targetInstance }.toSet() shouldBe setOf("i-2")
        }

    @Test
    fun `a target that took over the address of another does not execute its requests`() =
        withEntryVm {
            val newOwner = TargetStandIn(vertx, "other")
            newOwner.start()
            (0..2).forEach { store.write("keyed.servers", "i-$it", newOwner.heartbeat("shop", sequence = 2)) }
            waitUntil { call("/unsafe/x", HttpMethod.POST, "order").statusCode() == 503 }
            newOwner.executed.shouldBeEmpty()
        }

    @Test
    fun `records that cannot be decoded do not affect the others`() =
        withEntryVm {
            store.writeBytes("keyed.servers", "junk", byteArrayOf(-1, 0, 7))
            store.write("keyed.servers", "i-0", "{}")
            store.write("keyed.servers", "half", """{"address":"127.0.0.1:1"}""")
            store.write("keyed.servers", "real", targets[0].heartbeat("shop"))
            waitUntil { node.gateway.state.isReady("real") }
            node.gateway.state
                .targets()
                .map { it.target.id }
                .toSet() shouldBe setOf("i-0", "i-1", "i-2", "real")
        }

    @Test
    fun `the directory lists this entry VM until it leaves, and concurrent calls succeed before that`() =
        withEntryVm {
            val directory = client.get(firstPort + DIRECTORY_PORT_OFFSET, HOST, "/resolve?name=shop.example")
            directory
                .send()
                .coAwait()
                .bodyAsJsonObject()
                .getJsonArray("addresses")
                .list shouldBe listOf("$HOST:$firstPort")
            assertConcurrentCallsSucceed(10)
            withContext(vertx.orCreateContext.dispatcher()) { node.gateway.members.leave() }
            directory.send().coAwait().statusCode() shouldBe 503
        }

    private suspend fun assertConcurrentCallsSucceed(count: Int) =
        kotlinx.coroutines.coroutineScope {
            List(count) { async { call("/safe/x").statusCode() } }.awaitAll().toSet() shouldBe setOf(200)
        }

    private companion object {
        const val HOST = "127.0.0.1"
        val TEST_TIMEOUT = 30.seconds
        val POLL_INTERVAL = 20.milliseconds
    }
}
