package dev.goldcrestquay.spread

import dev.goldcrestquay.contract.RequestKind
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.plannedRoute
import dev.goldcrestquay.routing.FleetRetryBudget
import dev.goldcrestquay.routing.ForwardEvent
import dev.goldcrestquay.routing.ForwardOutcome
import dev.goldcrestquay.routing.RetryLimits
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SecondSendTest {
    private val view = SecondSendView(160.milliseconds, 120.milliseconds, 80.milliseconds, 57.milliseconds, 400.milliseconds, 1, true)
    private val route = plannedRoute(RequestKind.SAFE).copy(latencyObjective = 206.milliseconds)

    @Test
    fun `a second send waits for the usual and the expected time, and needs time, attempts and budget`() {
        decideSecondSend(view) shouldBe SecondSend.Now
        decideSecondSend(view.copy(elapsed = 50.milliseconds)) shouldBe SecondSend.After(100.milliseconds)
        decideSecondSend(view.copy(expected = 200.milliseconds)) shouldBe SecondSend.After(90.milliseconds)
        decideSecondSend(view.copy(elapsed = 50.milliseconds, hasBudget = false)) shouldBe SecondSend.After(100.milliseconds)
        decideSecondSend(view.copy(elapsed = 50.milliseconds, left = 156.milliseconds)) shouldBe SecondSend.Never
        decideSecondSend(view.copy(left = 56.milliseconds)) shouldBe SecondSend.Never
        decideSecondSend(view.copy(usual = null)) shouldBe SecondSend.Never
        decideSecondSend(view.copy(attemptsLeft = 0)) shouldBe SecondSend.Never
        decideSecondSend(view.copy(hasBudget = false)) shouldBe SecondSend.After(286.milliseconds)
        decideSecondSend(view.copy(hasBudget = false, left = 114.milliseconds)) shouldBe SecondSend.Never
        isWorthSecondSend(excess = 1, 57.milliseconds, 400.milliseconds) shouldBe false
        isWorthSecondSend(excess = 0, 401.milliseconds, 400.milliseconds) shouldBe false
    }

    @Test
    fun `only lookups whose deadline leaves no time to ask again may be sent twice`() {
        allowsSecondSend(route, 824.milliseconds) shouldBe true
        allowsSecondSend(route, 825.milliseconds) shouldBe false
        allowsSecondSend(route, null) shouldBe false
        allowsSecondSend(route.copy(latencyObjective = null), 615.milliseconds) shouldBe false
        RequestKind.entries.filter { allowsSecondSend(route.copy(kind = it), 615.milliseconds) } shouldBe listOf(RequestKind.SAFE)
    }

    @Test
    fun `the usual time is learned, needs some attempts, and forgets old ones`() {
        val times = UsualTimes()
        repeat(UsualTimes.MINIMUM_ATTEMPTS - 1) { times.record("a", 50.milliseconds) }
        times.high("a") shouldBe null
        repeat(108) { times.record("a", 50.milliseconds) }
        repeat(12) { times.record("a", 300.milliseconds) }
        times.high("a") shouldBe 50.milliseconds
        times.record("a", 300.milliseconds)
        times.high("a") shouldBe 300.milliseconds
        repeat(116) { times.record("a", 40.milliseconds) }
        times.high("a") shouldBe 40.milliseconds
        times.high("b") shouldBe null
    }

    @Test
    fun `second sends leave a part of the budget to retries, and to requests that would soon fail`() {
        val budget = FleetRetryBudget({ RetryLimits(0.0, 25.0, 10.seconds) }, { 1.seconds }) { 2 }
        listOf(secondSendShare(115.milliseconds, 57.milliseconds), secondSendShare(114.milliseconds, 57.milliseconds), 1.0).map { share ->
            List(20) { budget.tryTake("shop", share) }.count { it }
        } shouldBe listOf(5, 3, 2)
    }

    private suspend fun ReplayedService.learn() = repeat(20) { forward() }

    private suspend fun TestScope.service(
        kind: RequestKind = RequestKind.SAFE,
        attempts: Int = 3,
        limits: RetryLimits = RetryLimits(0.2, 3.0, 10.seconds),
    ) = ReplayedService(
        this,
        16,
        plannedRoute(kind, attempts = attempts).copy(latencyObjective = 206.milliseconds),
        retryLimits = limits,
    ).also {
        it.learn()
    }

    @Test
    fun `the second target's answer reaches the caller, and the first one is cancelled at once`() =
        runTest {
            val service = service()
            val first = mutableListOf<ReplayedTarget>()
            val startedAt = service.now()
            val outcome =
                service.forward { target ->
                    first += target
                    target.serve(if (first.size == 1) 10.seconds else 57.milliseconds)
                }
            outcome shouldBe ForwardOutcome.Answered(first[1].registered.id, first[1].registered)
            (service.now() - startedAt).inWholeMilliseconds.toInt() shouldBeLessThanOrEqual 206
            first.map { it.cancelled } shouldBe listOf(1, 0)
            first.first().running shouldBe 0
            service.events.filterIsInstance<ForwardEvent.SentTwiceEnded>().map { it.winner } shouldBe listOf("SECOND")
            repeat(4) {
                first.clear()
                service.forward { target -> target.also { first += it }.serve(if (first.size == 1) 10.seconds else 57.milliseconds) }
            }
            // What was cancelled counts in the usual time.
            (
                service.events
                    .filterIsInstance<ForwardEvent.SentTwice>()
                    .last()
                    .usual!! > 70.milliseconds
            ) shouldBe true
            // The next request goes elsewhere.
            (service.table.health(first[0].registered).penalty() > 1.0) shouldBe true
        }

    @Test
    fun `a failure of one attempt waits for the other`() =
        runTest {
            listOf(true, false).forEach { failsFirst ->
                val service = service()
                var sends = 0
                val outcome =
                    service.forward { target ->
                        val isFirst = ++sends == 1
                        delay(
                            if (isFirst) {
                                150
                            } else if (failsFirst) {
                                200
                            } else {
                                20
                            },
                        )
                        if (isFirst == failsFirst) SendResult.Broken() else SendResult.Replied(target.registered.id)
                    }
                withClue("first fails: $failsFirst") {
                    outcome.shouldBeInstanceOf<ForwardOutcome.Answered<String>>()
                    sends shouldBe 2
                }
            }
        }

    @Test
    fun `attempts count together towards the maximum, and a target's own failure is told`() =
        runTest {
            listOf(2, 3).forEach { attempts ->
                val service = service(attempts = attempts)
                var sends = 0
                val outcome =
                    service.forward {
                        val number = ++sends
                        delay(if (number == 1) 150 else 100)
                        if (number == 2) SendResult.Broken() else SendResult.Replied("failed", failed = true)
                    }
                outcome.shouldBeInstanceOf<ForwardOutcome.Answered<String>>().reply shouldBe "failed"
                sends shouldBe attempts
            }
        }

    @Test
    fun `requests that must run once or may end their targets, downloads, last attempts and patient callers are never sent twice`() =
        runTest {
            listOf(RequestKind.UNSAFE, RequestKind.UPLOAD, RequestKind.DOWNLOAD).forEach { kind ->
                var sends = 0
                service(kind).forward { awaitCancellation().also { sends++ } } shouldBe ReplayedService.PASSED_DEADLINE
                withClue(kind) { sends shouldBe 0 }
            }
            service().let { service ->
                service.crashes.recordCrash(fingerprint = 1, 0)
                service.forward { it.serve(10.seconds) } shouldBe ReplayedService.PASSED_DEADLINE
                service.events.filterIsInstance<ForwardEvent.SentTwice>().shouldBeEmpty()
            }
            service(attempts = 1).let { service ->
                service.forward { it.serve(10.seconds) } shouldBe ReplayedService.PASSED_DEADLINE
                service.forward(deadline = null) { it.serve(10.seconds) } shouldBe ReplayedService.PASSED_DEADLINE
                service.events.filterIsInstance<ForwardEvent.SentTwice>().shouldBeEmpty()
            }
        }

    @Test
    fun `a request that ends its first target while a second is chosen is not sent to that one beside it`() =
        runTest {
            val service = service()
            var sends = 0
            service.onProbe = { if (sends == 1) service.crashes.recordCrash(fingerprint = 1, 0) }
            service.forward { target -> sends++.let { target.serve(10.seconds) } } shouldBe ReplayedService.PASSED_DEADLINE
            sends shouldBe 1
            service.events.filterIsInstance<ForwardEvent.SentTwice>().shouldBeEmpty()
        }

    @Test
    fun `second sends stay within their part of the budget, and go to free slots only`() =
        runTest {
            val service = service(limits = RetryLimits(0.0, 5.0, 10.seconds))
            List(6) { launch { service.forward { awaitCancellation() } } }.forEach { it.join() }
            service.events.count { it is ForwardEvent.SentTwice } shouldBe 3
            val full = service()
            val others =
                full.targets.values.map { launch { it.serve(10.seconds) } } + full.targets.values.map { launch { it.serve(10.seconds) } }
            val probesBefore = full.probed.size
            full.forward { it.serve(10.seconds) }
            // Once for the first send, once when it is late, and once before it fails.
            (full.probed.size - probesBefore) shouldBeLessThanOrEqual 3 * 16
            full.events.filterIsInstance<ForwardEvent.SentTwice>().shouldBeEmpty()
            others.forEach { it.cancel() }
        }

    @Test
    fun `both attempts are cancelled when the caller leaves`() =
        runTest {
            val service = service()
            val caller = launch { service.forward { it.serve(10.seconds) } }
            delay(200)
            service.targets.values.sumOf { it.running } shouldBe 2
            caller.cancel()
            testScheduler.runCurrent()
            service.targets.values.sumOf { it.running } shouldBe 0
        }

    /** The load of lookups of 57 ms with a deadline of 615 ms, whose targets turn 5 to 12 times slower: for 150 ms, as their load shows, or unseen for 3 s. */
    @Test
    fun `lookups at targets that turn slow are answered in time`() =
        runTest {
            suspend fun play(objectiveMilliseconds: Int): Pair<Int, Int> {
                val route = plannedRoute(RequestKind.SAFE, attempts = 3).copy(latencyObjective = objectiveMilliseconds.milliseconds)
                val service = ReplayedService(this, 66, route)
                val spells = service.targets.values.map { launch { service.turnSlow(it) } }
                val results = service.play(2000, perSecond = 20.0)
                spells.forEach { it.cancel() }
                val repeated = service.events.count { it is ForwardEvent.Sent && it.attempt > 1 }
                repeated shouldBeLessThanOrEqual 400
                val failed = results.count { it.first !is ForwardOutcome.Answered }
                return failed to results.count { it.second > 206.milliseconds }
            }
            // With an objective of 150 ms the deadline is long enough to ask again, so that nothing is sent twice.
            val (failedBefore, lateBefore) = play(150)
            val (failed, late) = play(206)
            failedBefore shouldBeGreaterThan 10
            failed * 4 shouldBeLessThanOrEqual failedBefore
            late shouldBeLessThanOrEqual lateBefore
        }

    private suspend fun ReplayedService.turnSlow(target: ReplayedTarget) {
        while (true) {
            delay((random.nextDouble() * 6).seconds)
            val factor = random.nextDouble(5.0, 12.0)
            val isLong = random.nextInt(4) == 0
            if (isLong) target.hiddenSlowdown = factor else target.slowdown = factor
            delay(if (isLong) 3000 else 150)
            target.hiddenSlowdown = 1.0
            target.slowdown = 1.0
        }
    }
}
