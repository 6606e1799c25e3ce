package dev.goldcrestquay.overload

import io.kotest.assertions.withClue
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ScarceRoomTest {
    private var now = Duration.ZERO
    private val pressure = FleetPressure({ now })
    private val room = ScarceRoom({ now }, Random(5), pressure)

    private fun request(
        expected: Int = 200,
        excess: Int = 1,
        objectiveLeft: Int = 400,
        timeLeft: Int = 1000,
        isReturned: Boolean = false,
        isFirstAttempt: Boolean = true,
    ) = RoomRequest(
        service = "shop",
        route = "a",
        rank = RequestRank(1, false),
        isFirstAttempt = isFirstAttempt,
        isReturned = isReturned,
        expected = expected.milliseconds,
        work = 100.milliseconds,
        excess = excess,
        objectiveLeft = objectiveLeft.milliseconds,
        timeLeft = timeLeft.milliseconds,
        callerTimeLeft = timeLeft.milliseconds,
    )

    private fun reason(request: RoomRequest) = (room.decide(request) as? RoomDecision.Refused)?.reason

    @Test
    fun `a request joins a queue within its objective and is sent only with time to end`() {
        listOf(
            request(expected = 390) to null,
            request(expected = 410) to RoomRefusalReason.NO_ROOM,
            request(expected = 410, excess = 0) to null,
            request(expected = 300, timeLeft = 400) to RoomRefusalReason.NO_TIME,
            request(expected = 300, excess = 0, timeLeft = 400) to RoomRefusalReason.NO_TIME,
            request(objectiveLeft = -50) to null,
            request(objectiveLeft = -50, excess = 2) to RoomRefusalReason.NO_ROOM,
        ).forEach { (request, reason) -> withClue(request) { reason(request) shouldBe reason } }
    }

    @Test
    fun `the time that a request needs is learned from outcomes and forgotten without them`() {
        val tight = request(expected = 300, timeLeft = 500)
        reason(tight) shouldBe null
        repeat(5) { room.recordUse(request(), RoomUse.CUT, 1.seconds) }
        reason(tight) shouldBe RoomRefusalReason.NO_TIME
        now += 30.seconds
        reason(tight) shouldBe null
        repeat(5) { room.recordUse(request(), RoomUse.ANSWERED, 700.milliseconds) }
        reason(tight) shouldBe RoomRefusalReason.NO_TIME
        repeat(80) { room.recordUse(request(), RoomUse.ANSWERED, 150.milliseconds) }
        reason(request(expected = 300, timeLeft = 400)) shouldBe null
    }

    /** The load pattern of targets that end silently while there is room: their requests say nothing about it. */
    @Test
    fun `a request that gets no answer at a clear slot is not taken for a lack of room`() {
        repeat(20) { room.recordUse(request(expected = 105, excess = 0), RoomUse.CUT, 1.seconds) }
        reason(request(expected = 300, timeLeft = 500)) shouldBe null
        pressure.loads().single().pressure shouldBe 0.0
    }

    private fun taken(
        request: RoomRequest,
        count: Int = 100,
    ): Int {
        pressure.adopt(listOf(ServiceLevel("shop", 0.4, mapOf("1:a" to 0.4), 0)))
        return (1..count).count { reason(request) != RoomRefusalReason.YIELDS }
    }

    @Test
    fun `at a level of 0_4 four in ten requests are taken, all at clear slots, and none is weighed twice`() {
        taken(request()) shouldBe 40
        taken(request(expected = 105, excess = 0)) shouldBe 100
        taken(request(expected = 130, excess = 0)) shouldBe 40
        taken(request(isFirstAttempt = false)) shouldBe 100
    }

    @Test
    fun `callers who came back are taken before new ones, within the level`() {
        taken(request(isReturned = true), count = 3) shouldBe 3
        taken(request(), count = 3) shouldBe 0
        taken(request(isReturned = true)) shouldBeLessThan 50
    }

    @Test
    fun `a refused caller returns within a third of its time, spread, the sooner the more of its kind is taken`() {
        val request = request(expected = 500, objectiveLeft = 450, timeLeft = 1200)
        listOf(0.0, 0.5, 0.999).forEach { spread ->
            retryDelay(request, 0.1, spread) shouldBeGreaterThan retryDelay(request, 0.9, spread)
            retryDelay(request.copy(expected = 9.seconds), 1.0, spread) shouldBeLessThanOrEqualTo 400.milliseconds
        }
        retryDelay(request, 1.0, 0.9) shouldBeGreaterThan retryDelay(request, 1.0, 0.1) * 1.5
        retryDelay(request.copy(expected = 800.milliseconds), 1.0, 0.0) shouldBeGreaterThan retryDelay(request, 1.0, 0.0)
    }

    /** Bursts last for seconds, so a caller with much time returns before it is over, not a third of its time later. */
    @Test
    fun `a caller with much time is not told to stay away for long`() {
        val patient = request(objectiveLeft = 400, timeLeft = 30_000).copy(callerTimeLeft = 30.seconds)
        listOf(0.0, 0.5, 0.999).forEach { spread -> retryDelay(patient, 0.1, spread) shouldBeLessThanOrEqualTo 1600.milliseconds }
        retryDelay(patient, 0.1, 0.999) shouldBeGreaterThan retryDelay(patient, 0.1, 0.0)
    }

    @Test
    fun `what is refused for a lack of the caller's own time is no pressure`() {
        reason(request(timeLeft = 50)) shouldBe RoomRefusalReason.NO_TIME
        pressure.loads().single().pressure shouldBe 0.0
        reason(request(expected = 900)) shouldBe RoomRefusalReason.NO_TIME
        pressure.loads().single().pressure shouldBe 0.5
    }

    /** The load pattern of an entry VM that is late: the probes took longer than the rest of the caller's time. */
    @Test
    fun `a request whose time has passed is refused without a delay`() {
        val passed = request(timeLeft = -5, objectiveLeft = -300)
        val decision = room.decide(passed) as RoomDecision.Refused
        decision.reason shouldBe RoomRefusalReason.NO_TIME
        decision.retryAfter shouldBe Duration.ZERO
    }

    /** The load pattern of a route with short deadlines after a start: 150 ms are assumed until the first answer. */
    @Test
    fun `a clear slot is taken by any request, so that a wrong estimate is corrected and is no pressure`() {
        listOf(140, 104, 50).forEach { reason(request(expected = 105, excess = 0, timeLeft = it)) shouldBe null }
        pressure.loads().single().pressure shouldBe 0.0
        reason(request(expected = 130, excess = 0, timeLeft = 140)) shouldBe RoomRefusalReason.NO_TIME
    }

    /** The load pattern of organisations that call one route with priorities of their own. */
    @Test
    fun `urgent requests of a route are taken before less urgent ones of the same route`() {
        val kinds = listOf(0, 2).map { KindLoad("a", it, false, 100.0, 10_000.0, 0.0, 20.0, 0.0, 0.0) }
        repeat(6) {
            now += 250.milliseconds
            pressure.merge("vm-1", listOf(ServiceLoad("shop", kinds)))
            pressure.levels(isLeader = true)
        }
        val (urgent, other) = listOf(0, 2).map { request().copy(rank = RequestRank(it, false)) }
        val reasons = (1..100).map { reason(urgent) to reason(other) }
        val yielded = reasons.unzip().toList().map { kind -> kind.count { it == RoomRefusalReason.YIELDS } }
        withClue(yielded) { (yielded[1] - yielded[0]) shouldBeGreaterThan 25 }
    }
}
