package dev.goldcrestquay.standins.platform

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.util.Base64
import kotlin.time.Duration.Companion.seconds

/** What callers with keys, and the targets of their requests, see of one entry VM. */
class TenantKeysTest {
    private val entryVm = LoopbackEntryVm()
    private val target = TargetStandIn(entryVm.vertx, "i-1")
    private val client = WebClient.create(entryVm.vertx)

    @AfterEach
    fun close() = entryVm.close()

    private fun plan(
        version: Int,
        tenants: Map<String, List<String>>? = mapOf("huka270" to listOf(KEY, OTHER_KEY), "puhu251" to listOf("third")),
    ) = DeploymentDocuments.plan(version, tenants = tenants, publicKinds = setOf("upload"))

    private fun test(
        plan: String = plan(1),
        body: suspend () -> Unit,
    ): Unit =
        runBlocking {
            withTimeout(30.seconds) {
                target.start()
                entryVm.start(mapOf(target.id to target.heartbeat("shop")), plan = plan)
                body()
            }
        }

    private suspend fun call(
        path: String,
        vararg headers: Pair<String, String>,
    ): HttpResponse<Buffer> = entryVm.call(path, HttpMethod.POST, "one tile", headers = headers.toList())

    private fun key(text: String) = "Authorization" to "Bearer $text"

    private suspend fun relay(terms: String): HttpResponse<Buffer> =
        client
            .request(HttpMethod.POST, entryVm.firstPort + CONTROL_PORT_OFFSET, LoopbackEntryVm.HOST, "/unsafe/x")
            .putHeader("Host", "shop.example")
            .putHeader("Goldcrestquay-Request-Id", "relayed")
            .putHeader("goldcrestquay-relay", terms)
            .send()
            .coAwait()

    private fun encode(name: String) = Base64.getUrlEncoder().withoutPadding().encodeToString(name.encodeToByteArray())

    @Test
    fun `a target gets the name of the caller's tenant in place of the key, whatever the caller says`() =
        test {
            call("/unsafe/x", key(KEY)).statusCode() shouldBe 200
            call("/unsafe/x", "authorization" to "bearer  third", "goldcrestquay-tenant" to "huka270").statusCode() shouldBe 200
            call("/safe/x", key(OTHER_KEY), TENANT to "a", TENANT to "b").statusCode() shouldBe 200
            target.executed.map { it.tenant } shouldBe listOf("huka270", "puhu251", "huka270")
            target.executed.mapNotNull { it.authorization }.shouldBeEmpty()
        }

    @Test
    fun `a request without a key of the plan is denied and does not run`() =
        test {
            val headers =
                listOf(
                    emptyList(),
                    listOf(key("unknown")),
                    listOf(key("")),
                    listOf("Authorization" to KEY),
                    listOf("Authorization" to "Basic $KEY"),
                    listOf(key("$KEY$KEY")),
                    listOf(key(KEY), key(KEY)),
                    listOf(TENANT to "huka270"),
                )
            headers.forEach {
                withClue(it) {
                    val answer = call("/unsafe/x", *it.toTypedArray())
                    answer.statusCode() shouldBe 401
                    answer.getHeader("goldcrestquay-code") shouldBe "2017"
                    answer.getHeader("WWW-Authenticate") shouldBe "Bearer"
                    answer.getHeader("Retry-After") shouldBe null
                }
            }
            call("/nowhere/x").statusCode() shouldBe 404
            withClue("a long body") { entryVm.call("/unsafe/x", HttpMethod.POST, "p".repeat(400_000)).statusCode() shouldBe 401 }
            target.executed.shouldBeEmpty()
        }

    @Test
    fun `a public route needs no key, and one that is presented still names its tenant`() =
        test {
            call("/upload/x", TENANT to "huka270").statusCode() shouldBe 200
            call("/upload/x", "Authorization" to "Basic abc").statusCode() shouldBe 200
            call("/upload/x", key(KEY), TENANT to "puhu251").statusCode() shouldBe 200
            call("/upload/x", key("unknown")).statusCode() shouldBe 401
            target.executed.map { it.tenant } shouldBe listOf(null, null, "huka270")
            target.executed.mapNotNull { it.authorization }.shouldBeEmpty()
        }

    @Test
    fun `without tenants in the plan callers' headers pass as they are`() =
        test(plan(1, tenants = null)) {
            call("/unsafe/x", key(KEY), TENANT to "a").statusCode() shouldBe 200
            call("/unsafe/x").statusCode() shouldBe 200
            target.executed.map { it.tenant to it.authorization } shouldBe listOf("a" to "Bearer $KEY", null to null)
        }

    @Test
    fun `keys are added and taken away on a connection that is kept, and an older plan does not bring them back`() =
        test {
            call("/unsafe/x", key("new")).statusCode() shouldBe 401
            entryVm.store.writePlan(plan(2, mapOf("huka270" to listOf(KEY, "new"))))
            entryVm.waitUntil { call("/unsafe/x", key("new")).statusCode() == 200 }
            call("/unsafe/x", key(OTHER_KEY)).statusCode() shouldBe 401
            call("/unsafe/x", key(KEY)).statusCode() shouldBe 200
            entryVm.store.writePlan(plan(1))
            entryVm.store.writePlan(plan(3, mapOf("huka270" to listOf("new"), "late" to listOf("fourth"))))
            entryVm.waitUntil { call("/unsafe/x", key("fourth")).statusCode() == 200 }
            listOf(KEY, OTHER_KEY, "third").forEach { call("/unsafe/x", key(it)).statusCode() shouldBe 401 }
        }

    @Test
    fun `a relayed request runs for the tenant that its terms name, unless a key was taken away since the plan that they name`() =
        test(plan(4)) {
            relay("vm-7 0 1 4 ${encode("puhu251")}").statusCode() shouldBe 200
            withClue("unknown to the plan in force") { relay("vm-7 0 1 4 ${encode("other")}").statusCode() shouldBe 503 }
            withClue("a later plan") { relay("vm-7 0 1 5 ${encode("other tenant")}").statusCode() shouldBe 200 }
            withClue("no key") { relay("vm-7 0 1 4 -").statusCode() shouldBe 503 }
            withClue("an earlier release") { relay("vm-7 0 1").statusCode() shouldBe 401 }
            listOf("vm-7 0 1 x -", "vm-7 0 1 4", "vm-7 0 1 4 *", "vm-7 0 1 4 - -").forEach { relay(it).statusCode() shouldBe 404 }
            target.executed.map { it.tenant } shouldBe listOf("puhu251", "other tenant")
            entryVm.store.writePlan(plan(5, mapOf("huka270" to listOf(KEY), "puhu251" to listOf("third"))))
            entryVm.waitUntil { call("/unsafe/x", key(OTHER_KEY)).statusCode() == 401 }
            relay("vm-7 0 1 4 ${encode("puhu251")}").statusCode() shouldBe 200
            val refusal = relay("vm-7 0 1 4 ${encode("huka270")}")
            refusal.getHeader("goldcrestquay-code") shouldBe "2007"
            refusal.getHeader("goldcrestquay-relay") shouldBe "not-answered"
            relay("vm-7 0 1 5 ${encode("huka270")}").statusCode() shouldBe 200
        }

    private companion object {
        const val KEY = "rjvz48wuakn2ftimaj3n"
        const val OTHER_KEY = "r26tta828m82thhkmgjq"
        const val TENANT = "Goldcrestquay-Tenant"
    }
}
