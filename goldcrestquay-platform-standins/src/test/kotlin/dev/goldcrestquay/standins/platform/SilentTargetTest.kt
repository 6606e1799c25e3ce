package dev.goldcrestquay.standins.platform

import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.time.Duration.Companion.seconds

/** How a target falls silent while it runs a request. */
enum class Silence {
    /** Its heartbeats end, so that its registration expires. */
    REGISTRATION_EXPIRES,

    /** It reports that it drains. */
    DRAINS,

    /** Its health check fails. */
    UNHEALTHY,

    /** The store answers nobody. */
    STORE_SILENT,
}

/** What a target runs is neither sent elsewhere nor given up while the target is only silent or slow to report. */
class SilentTargetTest {
    private val entryVm = LoopbackEntryVm()
    private val slow = TargetStandIn(entryVm.vertx, "slow", executionMilliseconds = 1200)
    private val other = TargetStandIn(entryVm.vertx, "other")

    @AfterEach
    fun close() = entryVm.close()

    @ParameterizedTest
    @EnumSource
    fun `a request at a silent target is answered by it and run once`(silence: Silence): Unit =
        runBlocking {
            withTimeout(30.seconds) {
                slow.start()
                other.start()
                entryVm.start(mapOf(slow.id to slow.heartbeat("shop")))
                coroutineScope {
                    val answer = async { entryVm.call("/unsafe/x", HttpMethod.POST, "order", deadlineMilliseconds = 5000) }
                    entryVm.waitUntil { slow.executed.size == 1 }
                    entryVm.store.write("keyed.servers", other.id, other.heartbeat("shop"))
                    when (silence) {
                        Silence.REGISTRATION_EXPIRES -> entryVm.store.write("keyed.servers", slow.id, null)
                        Silence.DRAINS -> entryVm.store.write("keyed.servers", slow.id, slow.heartbeat("shop", state = "draining"))
                        Silence.UNHEALTHY -> slow.healthy = false
                        Silence.STORE_SILENT -> entryVm.store.fault = { StoreFault.SILENT }
                    }
                    answer.await().statusCode() shouldBe 200
                }
                slow.executed shouldHaveSize 1
                other.executed shouldHaveSize 0
            }
        }
}
