package dev.goldcrestquay.standins.platform

import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Targets that end when they run a certain request. */
class CrashingTargetTest {
    private val entryVm = LoopbackEntryVm()
    private val targets = (1..6).map { TargetStandIn(entryVm.vertx, "t$it") }

    @AfterEach
    fun close() = entryVm.close()

    private fun withTargets(
        isCrashing: (ReceivedRequest) -> Boolean,
        test: suspend () -> Unit,
    ): Unit =
        runBlocking {
            withTimeout(30.seconds) {
                targets.forEach { target ->
                    target.responseMode = { if (isCrashing(it)) ResponseMode.CRASH else ResponseMode.ANSWER }
                    target.start()
                }
                entryVm.start(targets.associate { it.id to it.heartbeat("shop") })
                test()
            }
        }

    private fun executed(isCrashing: (ReceivedRequest) -> Boolean) = targets.flatMap { it.executed }.filter(isCrashing)

    @Test
    fun `a lookup that ended three targets is refused as not run and others are served`() {
        val isCrashing = { request: ReceivedRequest -> request.uri == "/safe/x?crash" }
        withTargets(isCrashing) {
            entryVm.statusOf("/safe/x?crash") shouldBe 502
            entryVm.statusOf("/safe/x?crash") shouldBe 502
            repeat(5) {
                val refusal = entryVm.call("/safe/x?crash")
                refusal.statusCode() shouldBe 503
                refusal.getHeader("goldcrestquay-code") shouldBe "2016"
            }
            executed(isCrashing) shouldHaveSize 3
            entryVm.statusOf("/safe/x") shouldBe 200
        }
    }

    @Test
    fun `an order that ended three targets is refused by its body`() {
        val isCrashing = { request: ReceivedRequest -> request.body == "crash" }
        withTargets(isCrashing) {
            repeat(3) { entryVm.statusOf("/unsafe/x", HttpMethod.POST, "crash") shouldBe 502 }
            entryVm.statusOf("/unsafe/x", HttpMethod.POST, "crash") shouldBe 503
            executed(isCrashing) shouldHaveSize 3
            entryVm.statusOf("/unsafe/x", HttpMethod.POST, "order") shouldBe 200
        }
    }
}
