package dev.goldcrestquay.spread

import dev.goldcrestquay.contract.RequestKind
import dev.goldcrestquay.plannedRoute
import dev.goldcrestquay.routing.ForwardOutcome
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class RejectedShareTest {
    private var now = Duration.ZERO
    private val share = RejectedShare { now }

    @Test
    fun `a target that rejects is compared by its share, and comes back`() {
        share.recordAcceptance()
        share.factor() shouldBe 1.0
        share.recordRejection()
        val fresh = share.factor()
        share.recordAcceptance()
        fresh shouldBeGreaterThan share.factor()
        share.factor() shouldBeGreaterThan 1.7
        repeat(100) { share.recordRejection() }
        now += 50.seconds
        share.factor() shouldBeGreaterThan 1.0
        now += 10.seconds
        share.factor() shouldBe 1.0
    }

    @Test
    fun `a rejection by a target that shows no free slot, or while nothing calls for it, is not held against it`() =
        runTest {
            listOf(true, false).forEach { isFree ->
                val service = ReplayedService(this, 1, route, steersByRejections = true)
                val target = service.targets.values.single()
                target.rejectedShare = 1.0
                val busy = if (isFree) emptyList() else List(2) { launch { service.forward { it.run(10.seconds) } } }
                delay(50)
                service.forward()
                (
                    service.table
                        .health(target.registered)
                        .rejectedShare
                        .factor() > 1.0
                ) shouldBe isFree
                busy.forEach { it.cancel() }
            }
            val off = ReplayedService(this, 1, route)
            off.targets.values
                .single()
                .rejectedShare = 1.0
            off.forward()
            off.table
                .health(
                    off.targets.values
                        .single()
                        .registered,
                ).rejectedShare
                .factor() shouldBe 1.0
        }

    @Test
    fun `a target that rejected is probed after the others, and each answer counts for it`() =
        runTest {
            val service = ReplayedService(this, 5, route.copy(maximumAttempts = 1), steersByRejections = true)
            service.targets.values.forEach { it.rejectedShare = 1.0 }
            service.forward()
            val rejecting = service.targets.values.single { it.rejections == 1 }
            service.targets.values.forEach { it.rejectedShare = 0.0 }
            delay(100)
            service.probed.clear()
            service.forward()
            (rejecting.registered.id in service.probed) shouldBe false
            // All are probed while none is fast, and the others are still better.
            service.targets.values.forEach { if (it !== rejecting) it.slowdown = 2.0 }
            service.forward()
            (rejecting.registered.id in service.probed) shouldBe true
            rejecting.arrivals shouldBe 1
            service.targets.values.forEach { if (it !== rejecting) it.slowdown = 20.0 }
            repeat(3) { service.forward() }
            rejecting.arrivals shouldBeGreaterThan 1
            service.table
                .health(rejecting.registered)
                .rejectedShare
                .factor() shouldBeLessThan 3.5
        }

    private val route = plannedRoute(RequestKind.SAFE, attempts = 2).copy(latencyObjective = null)

    /** The load of a service of which a third of the targets reject 45 of 100 requests while their load shows free slots. */
    @Test
    fun `targets that reject although they have free slots get fewer requests, where that is called for`() =
        runTest {
            suspend fun play(steers: Boolean): Pair<ReplayedService, Int> {
                val service = ReplayedService(this, 66, route, steersByRejections = steers)
                service.targets.values
                    .take(22)
                    .forEach { it.rejectedShare = 0.45 }
                val unserved = service.play(1200, perSecond = 6.0).count { it.first !is ForwardOutcome.Answered }
                return service to unserved
            }
            val (plain, unservedBefore) = play(steers = false)
            val (steered, unserved) = play(steers = true)
            unservedBefore shouldBeGreaterThan 12
            // Callers need 99 of 100 requests to be served.
            unserved shouldBeLessThanOrEqual 12
            steered.targets.values.sumOf { it.rejections } * 2 shouldBeLessThanOrEqual plain.targets.values.sumOf { it.rejections }
            // They are still tried, and all targets stay usable when all reject.
            steered.targets.values
                .take(22)
                .sumOf { it.arrivals } shouldBeGreaterThan 22
            steered.targets.values.forEach { it.rejectedShare = 0.45 }
            steered.play(300, perSecond = 6.0).count { it.first is ForwardOutcome.Answered } shouldBeGreaterThan 150
        }
}
