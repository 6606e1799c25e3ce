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
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** What callers and targets see of one entry VM, over loopback. */
class EdgeContractTest {
    private val vertx = Vertx.vertx()
    private val store = StoreStandIn(vertx)
    private val upstreams = List(3) { UpstreamStandIn(vertx, "i-$it") }
    private val client = WebClient.create(vertx)
    private val numbers = AtomicInteger()
    private var firstPort = 0
    private lateinit var node: PlatformNode

    private fun contract(test: suspend () -> Unit) =
        runBlocking {
            withTimeout(TEST_LIMIT) {
                store.start()
                store.write("keyed.op", "config", Deployment.plan(version = 1))
                upstreams.forEach {
                    it.start()
                    store.write("keyed.servers", it.id, it.heartbeat("shop"))
                }
                firstPort = freePorts()
                val settings = PlatformSettings.read(Deployment.settings("entry", firstPort, store.port)).getOrElse { error(it) }
                val context = vertx.orCreateContext
                node = PlatformNode(vertx, context, settings, TimeSource.Monotonic.asClock(), silent, Random(1))
                withContext(context.dispatcher()) { node.start() }
                until {
                    client
                        .get(firstPort + 1, HOST, "/ready")
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

    private suspend fun until(condition: suspend () -> Boolean) {
        while (!condition()) delay(POLL)
    }

    private suspend fun call(
        path: String,
        method: HttpMethod = HttpMethod.GET,
        body: String = "",
        id: String = "r-${numbers.incrementAndGet()}",
        deadline: Long = 1500,
        port: Int = firstPort,
    ): HttpResponse<Buffer> =
        client
            .request(method, port, HOST, path)
            .putHeader("Host", "shop.example")
            .putHeader("Goldcrestquay-Request-Id", id)
            .putHeader("Goldcrestquay-Deadline-Ms", deadline.toString())
            .sendBuffer(Buffer.buffer(body))
            .coAwait()

    private val allRan get() = upstreams.flatMap { it.ran }

    @Test
    fun `a request reaches one target unchanged and its answer comes back unchanged`() =
        contract {
            val answer = call("/unsafe/order?x=%20y", HttpMethod.POST, "one tile", id = "abc")
            answer.statusCode() shouldBe 200
            answer.bodyAsString() shouldBe UpstreamStandIn.bodyFor("abc")
            answer.getHeader("Goldcrestquay-Server-Seal") shouldNotBe null
            val received = allRan.single()
            received.copy(target = null, deadlineMilliseconds = null) shouldBe
                ReceivedRequest("abc", null, null, "POST", "/unsafe/order?x=%20y", "one tile")
            received.deadlineMilliseconds!!.toInt() shouldBeInRange 1..1500
            upstreams.map { it.id } shouldContain received.target
        }

    @Test
    fun `a large body arrives whole`() =
        contract {
            val body = "p".repeat(400_000)
            call("/upload/photo", HttpMethod.POST, body).statusCode() shouldBe 200
            allRan.single().body shouldBe body
        }

    @Test
    fun `a large answer comes whole, and one that breaks off does not look complete`() =
        contract {
            val body = "t".repeat(2_000_000)
            upstreams.forEach { it.answerBody = { body } }
            call("/unsafe/x", HttpMethod.POST, "order").bodyAsString() shouldBe body
            upstreams.forEach { it.behaviour = { UpstreamBehaviour.TRUNCATE } }
            shouldThrow<HttpClosedException> { call("/unsafe/x", HttpMethod.POST, "order") }
            allRan shouldHaveSize 2
        }

    @Test
    fun `a request that needs a plan waits for the first facts`() =
        contract {
            val late = PlatformNode(vertx, vertx.orCreateContext, lateSettings(), TimeSource.Monotonic.asClock(), silent, Random(2))
            store.fault = { if (it == "/log-newest") StoreFault.REFUSED else null }
            withContext(vertx.orCreateContext.dispatcher()) { late.start() }
            kotlinx.coroutines.coroutineScope {
                val answer = async { call("/safe/x", port = latePort) }
                until { (store.calls["/log-newest"] ?: 0) > 6 }
                store.fault = { null }
                answer.await().statusCode() shouldBe 200
            }
        }

    private var latePort = 0
    private val silent = GatewayReports({ }, { }, { })

    private fun lateSettings(): PlatformSettings {
        latePort = freePorts()
        return PlatformSettings.read(Deployment.settings("late", latePort, store.port)).getOrElse { error(it) }
    }

    @Test
    fun `no route is 404 and runs nothing`() =
        contract {
            call("/none/").statusCode() shouldBe 404
            allRan.shouldBeEmpty()
        }

    @Test
    fun `a target that refuses passes an order to the next`() =
        contract {
            val first = AtomicInteger()
            upstreams.forEach { it.behaviour = { if (first.getAndIncrement() == 0) UpstreamBehaviour.SHED else UpstreamBehaviour.ANSWER } }
            call("/unsafe/x", HttpMethod.POST, "order").statusCode() shouldBe 200
            allRan shouldHaveSize 1
        }

    @Test
    fun `refusals everywhere are told as not run, with a time to return`() =
        contract {
            upstreams.forEach { it.behaviour = { UpstreamBehaviour.SHED } }
            val answer = call("/unsafe/x", HttpMethod.POST, "order")
            answer.statusCode() shouldBe 503
            (answer.getHeader("Retry-After").toDouble() > 0) shouldBe true
            allRan.shouldBeEmpty()
        }

    @Test
    fun `an order whose answer is lost or spoilt runs once and is not called not run`() =
        contract {
            listOf(UpstreamBehaviour.RUN_AND_RESET, UpstreamBehaviour.TRUNCATE).forEach { behaviour ->
                upstreams.forEach { upstream ->
                    upstream.ran.clear()
                    upstream.behaviour = { behaviour }
                }
                call("/unsafe/x", HttpMethod.POST, "order").statusCode() shouldBe 502
                allRan shouldHaveSize 1
            }
        }

    @ParameterizedTest
    @EnumSource(names = ["RUN_AND_RESET", "TRUNCATE", "FAIL"])
    fun `a lookup whose answer is lost or spoilt is asked elsewhere`(behaviour: UpstreamBehaviour) =
        contract {
            val first = AtomicInteger()
            upstreams.forEach { it.behaviour = { if (first.getAndIncrement() == 0) behaviour else UpstreamBehaviour.ANSWER } }
            call("/safe/x", id = "look").bodyAsString() shouldBe UpstreamStandIn.bodyFor("look")
            allRan shouldHaveSize 2
        }

    @Test
    fun `a target's own failure reaches the caller with its mark`() =
        contract {
            upstreams.forEach { it.behaviour = { UpstreamBehaviour.FAIL } }
            val answer = call("/unsafe/x", HttpMethod.POST, "order", id = "f")
            answer.statusCode() shouldBe 500
            answer.getHeader("Goldcrestquay-Server-Seal") shouldNotBe null
        }

    @Test
    fun `a second answer to one request never reaches the next`() =
        contract {
            upstreams.forEach { it.behaviour = { UpstreamBehaviour.ANSWER_TWICE } }
            repeat(30) {
                val id = "twice-$it"
                call("/unsafe/x", HttpMethod.POST, "order", id).bodyAsString() shouldBe UpstreamStandIn.bodyFor(id)
            }
            allRan shouldHaveSize 30
        }

    @Test
    fun `a silent target is answered for at the deadline`() =
        contract {
            upstreams.forEach { it.behaviour = { UpstreamBehaviour.HANG } }
            call("/unsafe/x", HttpMethod.POST, "order", deadline = 300).statusCode() shouldBe 504
            allRan shouldHaveSize 1
        }

    @Test
    fun `a new plan moves a route and a stale one changes nothing`() =
        contract {
            store.write("keyed.op", "config", Deployment.plan(version = 5, service = "gone"))
            until { call("/safe/x").statusCode() == 503 }
            store.write("keyed.op", "config", Deployment.plan(version = 3))
            store.write("keyed.op", "config", Deployment.plan(version = 9, service = "shop"))
            until { call("/safe/x").statusCode() == 200 }
            node.gateway.state.routes
                ?.plan
                ?.version shouldBe 9
        }

    @Test
    fun `draining and evacuated targets get nothing more`() =
        contract {
            store.write("keyed.servers", "i-0", upstreams[0].heartbeat("shop", state = "draining", sequence = 2))
            store.write("keyed.servers", "i-1", upstreams[1].heartbeat("shop", dataCentre = "south", sequence = 2))
            store.write("keyed.op", "evacuate/south", "{}")
            until {
                node.gateway.state
                    .evacuatedDataCentres()
                    .isNotEmpty() &&
                    !node.gateway.state.isReady("i-0")
            }
            upstreams.forEach { it.ran.clear() }
            delay(300.milliseconds)
            repeat(20) { call("/safe/x").statusCode() shouldBe 200 }
            allRan.map { it.target }.toSet() shouldBe setOf("i-2")
        }

    @Test
    fun `an address that another target took runs nothing of the first`() =
        contract {
            val usurper = UpstreamStandIn(vertx, "other")
            usurper.start()
            (0..2).forEach { store.write("keyed.servers", "i-$it", usurper.heartbeat("shop", sequence = 2)) }
            until { call("/unsafe/x", HttpMethod.POST, "order").statusCode() == 503 }
            usurper.ran.shouldBeEmpty()
        }

    @Test
    fun `entries of another writer harm nothing`() =
        contract {
            store.writeBytes("keyed.servers", "junk", byteArrayOf(-1, 0, 7))
            store.write("keyed.servers", "i-0", "{}")
            store.write("keyed.servers", "half", """{"address":"127.0.0.1:1"}""")
            store.write("keyed.servers", "real", upstreams[0].heartbeat("shop"))
            until { node.gateway.state.isReady("real") }
            node.gateway.state
                .targets()
                .map { it.target.id }
                .toSet() shouldBe setOf("i-0", "i-1", "i-2", "real")
        }

    @Test
    fun `the directory names this entry VM until it leaves, and open requests end whole`() =
        contract {
            val directory = client.get(firstPort + 3, HOST, "/resolve?name=shop.example")
            directory
                .send()
                .coAwait()
                .bodyAsJsonObject()
                .getJsonArray("addresses")
                .list shouldBe listOf("$HOST:$firstPort")
            coroutineScopeOfCalls(10)
            withContext(vertx.orCreateContext.dispatcher()) { node.gateway.members.leave() }
            directory.send().coAwait().statusCode() shouldBe 503
        }

    private suspend fun coroutineScopeOfCalls(count: Int) =
        kotlinx.coroutines.coroutineScope {
            List(count) { async { call("/safe/x").statusCode() } }.awaitAll().toSet() shouldBe setOf(200)
        }

    private companion object {
        const val HOST = "127.0.0.1"
        val TEST_LIMIT = 30.seconds
        val POLL = 20.milliseconds
    }
}
