package dev.goldcrestquay.routing

import dev.goldcrestquay.DESK_SERVICE
import dev.goldcrestquay.contract.Outcome
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.Attempt
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendAttempt
import dev.goldcrestquay.link.SendResult
import io.kotest.assertions.withClue
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CallRouterTest {
    private val oneRetryPerCall = RoutingSettings(retryShare = 1.0)

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun TestScope.clock(): Clock = { currentTime.milliseconds }

    private fun TestScope.router(settings: RoutingSettings = oneRetryPerCall) =
        CallRouter(ServiceTable(DESK_SERVICE, settings, clock(), Random(1)), settings, clock())

    private fun <T> describe(outcome: Outcome<T>): String =
        when (outcome) {
            is Outcome.Answered -> "answered ${outcome.reply}".also { outcome.finish(true) }
            is Outcome.NotRun -> "not run ${outcome.code.number}"
            is Outcome.Unknown -> "unknown ${outcome.code.number}"
        }

    private val refused = SendResult.Refused(Refusal.CONNECTION_REFUSED)
    private val exhausted = SendResult.Refused(Refusal.EXHAUSTED)
    private val broken = SendResult.Broken()

    @Test
    fun `the outcome of a call follows from the results of its attempts`() =
        runTest {
            val cases =
                listOf(
                    Triple(false, listOf(SendResult.Replied(1)), "answered 1"),
                    Triple(false, listOf(refused, SendResult.Replied(2)), "answered 2"),
                    Triple(false, listOf(broken, SendResult.Replied(2)), "unknown 3001"),
                    Triple(true, listOf(broken, SendResult.Replied(2)), "answered 2"),
                    Triple(true, listOf(broken, refused, refused), "unknown 3001"),
                    Triple(true, listOf(refused, refused, refused), "not run 2005"),
                    Triple(false, listOf(exhausted, SendResult.Replied(2)), "not run 2005"),
                )
            for ((idempotent, results, expected) in cases) {
                val router = router(oneRetryPerCall.copy(retryReserve = 10.0))
                repeat(10) { describe(router.call(Call("desk", true, 60.seconds)) { _, _ -> SendResult.Replied(0) }) }
                val outcome = router.call(Call("desk", idempotent, 60.seconds)) { _, attempt -> results[attempt.number - 1] }
                withClue("$idempotent $results") { describe(outcome) shouldBe expected }
            }
        }

    @Test
    fun `a call not answered in time is unknown and one without time left is not run`() =
        runTest {
            val router = router()
            describe(
                router.call<Int>(Call("desk", false, 100.milliseconds)) { _, _ ->
                    delay(1000)
                    SendResult.Replied(1)
                },
            ) shouldBe "unknown ${ResultCode.DEADLINE_EXCEEDED.number}"
            describe(router.call<Int>(Call("desk", false, 50.milliseconds)) { _, _ -> broken }) shouldBe
                "not run ${ResultCode.DEADLINE_PASSED.number}"
        }

    @Test
    fun `a chain of seventeen hops adds less than a tenth of the calls as retries when its last hop fails`() =
        runTest {
            var sent = 0
            val last: SendAttempt<Int> = { _, _ ->
                sent++
                refused
            }
            val chain =
                (1..17).fold(last) { next, _ ->
                    val router = router(RoutingSettings())
                    val hop: SendAttempt<Int> = { target, attempt ->
                        when (val outcome = router.call(Call("desk", true, clock()() + attempt.remaining), next)) {
                            is Outcome.Answered -> SendResult.Replied(outcome.reply)
                            is Outcome.NotRun -> exhausted
                            is Outcome.Unknown -> SendResult.Broken(outcome.code).also { check(target.name.isNotEmpty()) }
                        }
                    }
                    hop
                }
            repeat(1000) {
                chain(DESK_SERVICE.targets[0], Attempt(1, 5.seconds, 3))
                delay(5)
            }
            sent shouldBeLessThan 1100
        }
}
