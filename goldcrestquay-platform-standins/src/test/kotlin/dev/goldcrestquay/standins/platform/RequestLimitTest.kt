package dev.goldcrestquay.standins.platform

import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

class RequestLimitTest {
    private val entryVm = LoopbackEntryVm()
    private val limited = TargetStandIn(entryVm.vertx, "limited")
    private val other = TargetStandIn(entryVm.vertx, "other")

    @AfterEach
    fun close() = entryVm.close()

    private suspend fun start() {
        limited.start()
        other.start()
        entryVm.start(listOf(limited, other).associate { it.id to it.heartbeat("shop") })
    }

    /** The limit is so low that it allows no request within the test beyond the five that are always allowed. */
    @Test
    fun `a target that named a request limit gets no more requests than it allows`(): Unit =
        runBlocking {
            withTimeout(30.seconds) {
                start()
                limited.requestLimit = 0.001
                repeat(60) { entryVm.statusOf("/safe/x") shouldBe 200 }
                limited.executed.size shouldBeLessThanOrEqual 5
                other.executed.size shouldBeGreaterThan 50
            }
        }
}
