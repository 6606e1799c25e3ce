package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.WeightedService
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.overload.RequestRank
import dev.goldcrestquay.overload.RoomUse
import dev.goldcrestquay.plannedRoute
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RoomAdmissionTest {
    private val route = plannedRoute(destinations = listOf(WeightedService("surplus", 0.2), WeightedService("shop", 0.8)))
    private val view = AdmissionView(9.seconds, 1, 300.milliseconds, 800.milliseconds, 3)

    private fun request(
        service: String = "shop",
        callerAge: Duration = Duration.ZERO,
        callerTimeLeft: Duration? = null,
    ) = roomRequest(route, service, view, 100.milliseconds, 2.5, callerAge, callerTimeLeft, true)

    @Test
    fun `a request ranks by the view's priority and after the own kinds of a service that is not its main one`() {
        request().rank shouldBe RequestRank(3, isSpill = false)
        request("surplus").rank shouldBe RequestRank(3, isSpill = true)
        request().expected shouldBe 250.milliseconds
        request().callerTimeLeft shouldBe 800.milliseconds
        request(callerTimeLeft = 2.seconds).callerTimeLeft shouldBe 2.seconds
        listOf(0, 20, 60, 900).map { request(callerAge = it.milliseconds).isReturned } shouldBe listOf(false, false, true, true)
    }

    @Test
    fun `only full targets and requests out of time tell of a lack of room`() {
        listOf(
            SendResult.Replied("done") to RoomUse.ANSWERED,
            SendResult.Replied("done", failed = true) to RoomUse.INCONCLUSIVE,
            SendResult.Refused(Refusal.SHEDDING) to RoomUse.REJECTED,
            SendResult.Refused(Refusal.WITHDRAWN) to RoomUse.INCONCLUSIVE,
            SendResult.Broken(ResultCode.DEADLINE_EXCEEDED) to RoomUse.CUT,
            SendResult.Broken(ResultCode.CONNECTION_LOST) to RoomUse.INCONCLUSIVE,
        ).forEach { (result, use) -> withClue(result) { roomUse(result) shouldBe use } }
    }
}
