package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.fleetMember
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.Feed
import dev.goldcrestquay.machine.FleetMembers
import dev.goldcrestquay.machine.PlanRecord
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.move.VersionEvidence
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.routePlan
import dev.goldcrestquay.targetRecord
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Requests to targets that said that they leave or want none for a time. */
@OptIn(ExperimentalCoroutinesApi::class)
class NoticedTargetTest {
    private val sentTo = mutableListOf<String>()
    private val sentAt = mutableListOf<Duration>()
    private val probed = mutableListOf<String>()
    private val released = mutableListOf<String>()
    private lateinit var state: SharedState
    private lateinit var notices: TargetNotices

    /** What each target says of itself in reply to a probe. */
    private val saidToProbe = HashMap<String, TargetNotice>()

    /** The targets that answer probes so late that a request is placed without their answers. */
    private val lateProbes = mutableSetOf<String>()

    private fun TestScope.forwarder(
        targets: List<RegisteredTarget>,
        probesPerSecond: Double = 60.0,
    ): RequestForwarder<String, String> {
        val clock = { currentTime.milliseconds }
        state = SharedState(clock)
        notices = TargetNotices(clock)
        state.apply(PlanRecord("config", 1, routePlan()))
        state.markComplete(Feed.VERDICTS, 0)
        state.confirm(clock())
        targets.forEachIndexed { index, target -> state.apply(targetRecord(target, index.toLong())) }
        val random = Random(3)
        val members = { listOf("vm-1") }
        val limiter = ColdTargetLimiter("vm-1", clock, members)
        val table = TargetTable(state, "north", clock, random, limiter, RequestLimitShares("vm-1", members), notices)
        val probe: suspend (RegisteredTarget, Any) -> ProbeResult<String>? = { target, _ ->
            delay(1)
            probed += target.id
            if (target.id in lateProbes) delay(200)
            saidToProbe[target.id]?.let { notices.record(target.id, it) }
            ProbeResult(LoadSample(0, 0, 4, 1.0, true), target.id)
        }
        val sampler = TargetSampler(clock, random, backgroundScope, ProbeBudget({ probesPerSecond }, clock) { 1 }, probe) { released += it }
        val tables =
            ForwarderTables(
                state,
                table,
                FleetRetryBudget({ RetryLimits(0.2, 56.0, 10.seconds) }, clock) { 1 },
                SplitChooser(random),
                VersionEvidence(clock),
                CrashTable(clock),
                TargetReach(clock),
                RelayPeers(FleetMembers(fleetMember(1), clock), random),
                PlannedStop(clock) { 6.seconds },
            ) { }
        return RequestForwarder(tables, sampler, clock, random) { }
    }

    private fun TestScope.request(
        beforeSending: () -> Unit = { },
        send: suspend (RegisteredTarget) -> SendResult<String> = { SendResult.Replied("ok") },
    ) = ForwardRequest<String, String>("r1", "shop.example", "/safe/x", 0, currentTime.milliseconds, 3.seconds, { dispatch ->
        beforeSending()
        if (!dispatch.confirm()) {
            SendResult.Refused(Refusal.WITHDRAWN)
        } else {
            sentTo += dispatch.target.id
            sentAt += currentTime.milliseconds
            send(dispatch.target)
        }
    }) { 1 }

    /** Sends [request] every [interval] to each of [ENTRY_VMS] entry VMs that hear of a leaving target by its own answers alone. */
    private suspend fun TestScope.requestsToLeavingTarget(
        probesPerSecond: Double,
        interval: Duration,
    ): Int {
        sentTo.clear()
        val targets = List(10) { registeredTarget("t$it") }
        repeat(ENTRY_VMS) {
            val forwarder = forwarder(targets, probesPerSecond)
            val heard = notices
            saidToProbe["t0"] = TargetNotice(isLeaving = true)
            repeat(40) {
                val request =
                    request { target ->
                        delay(RUN_TIME)
                        if (target.id == "t0") heard.record("t0", TargetNotice(isLeaving = true))
                        SendResult.Replied("ok")
                    }
                launch { forwarder.forward(request) }
                delay(interval)
            }
            delay(1.seconds)
        }
        return sentTo.count { it == "t0" }
    }

    /** Why entry VMs do not tell each other that a target leaves: there is nearly nothing left to gain. */
    @Test
    fun `an entry VM that has not heard that a target leaves sends it what is under way until the first answer`() =
        runTest {
            withClue("each request is preceded by probes") { requestsToLeavingTarget(60.0, 400.milliseconds) shouldBe 0 }
            withClue("no probes, requests one after the other") {
                requestsToLeavingTarget(0.0, 400.milliseconds) shouldBeLessThanOrEqual ENTRY_VMS
            }
            withClue("no probes, some under way at a time") {
                requestsToLeavingTarget(0.0, 40.milliseconds) shouldBeLessThanOrEqual ENTRY_VMS * (RUN_TIME / 40.milliseconds).toInt()
            }
        }

    private val twoTargets = listOf("leaving", "other").map { registeredTarget(it) }

    /** Guards against requests to a target that has said that it leaves while the store is away or its records say nothing of it. */
    @Test
    fun `a target that says that it leaves gets no more requests and no more probes`() =
        runTest {
            val forwarder = forwarder(twoTargets)
            notices.record("leaving", TargetNotice(isLeaving = true))
            repeat(50) { forwarder.forward(request()).shouldBeInstanceOf<ForwardOutcome.Answered<String>>() }
            sentTo shouldNotContain "leaving"
            probed shouldNotContain "leaving"
        }

    @Test
    fun `the request that probed a target as it says that it leaves goes to another, and its connection is given back`() =
        runTest {
            saidToProbe["leaving"] = TargetNotice(isLeaving = true)
            val forwarder = forwarder(twoTargets)
            repeat(50) { forwarder.forward(request()).shouldBeInstanceOf<ForwardOutcome.Answered<String>>() }
            sentTo shouldNotContain "leaving"
            released.count { it == "leaving" } shouldBe probed.count { it == "leaving" }
        }

    @Test
    fun `a target that says that it leaves as the only one to answer its probe does not get the request`() =
        runTest {
            saidToProbe["leaving"] = TargetNotice(isLeaving = true)
            lateProbes += "other"
            forwarder(twoTargets).forward(request()).shouldBeInstanceOf<ForwardOutcome.Answered<String>>()
            sentTo shouldBe listOf("other")
            released.count { it == "leaving" } shouldBe 1
        }

    @Test
    fun `a retry does not go to a target that said that it leaves in its refusal to another request`() =
        runTest {
            val forwarder = forwarder(listOf("a", "b", "c").map { registeredTarget(it) })
            notices.record("a", TargetNotice(isLeaving = true))
            repeat(50) { forwarder.forward(request { SendResult.Refused(Refusal.SHEDDING) }) }
            sentTo shouldNotContain "a"
        }

    @Test
    fun `a later record that says that it serves does not undo it, and a new start is served at once`() =
        runTest {
            val forwarder = forwarder(twoTargets)
            notices.record("leaving", TargetNotice(isLeaving = true))
            state.apply(targetRecord(registeredTarget("leaving"), 50))
            state.apply(targetRecord(registeredTarget("started").copy(address = twoTargets.first().address), 51))
            repeat(50) { forwarder.forward(request()) }
            sentTo shouldNotContain "leaving"
            withClue("requests to the new start") { ("started" in sentTo) shouldBe true }
        }

    /** Nothing is lost by a request to a target that has just begun to leave, while a refusal would cost its caller an answer. */
    @Test
    fun `if all targets leave they get requests for a second, then callers are refused at once`() =
        runTest {
            val forwarder = forwarder(twoTargets)
            twoTargets.forEach { notices.record(it.id, TargetNotice(isLeaving = true)) }
            forwarder.forward(request()).shouldBeInstanceOf<ForwardOutcome.Answered<String>>()
            delay(1.seconds)
            sentTo.clear()
            val before = currentTime
            forwarder.forward(request()).shouldBeInstanceOf<ForwardOutcome.NotRun>().code shouldBe ResultCode.NO_TARGET
            currentTime shouldBe before
            sentTo.shouldBeEmpty()
        }

    @Test
    fun `a target that wants no requests gets none until its time ends, not even a cold, last or retried one`() =
        runTest {
            data class Case(
                val name: String,
                val targets: List<RegisteredTarget>,
                val send: suspend (RegisteredTarget) -> SendResult<String>,
            )
            val silent = registeredTarget("silent")
            listOf(
                Case("last of its service", listOf(silent)) { SendResult.Replied("ok") },
                Case("cold", listOf(silent.copy(warmUpLeft = 20.seconds))) { SendResult.Replied("ok") },
                Case("retry", listOf(silent, registeredTarget("other"))) { SendResult.Refused(Refusal.SHEDDING) },
                Case("lost connection", listOf(silent, registeredTarget("other"))) { SendResult.Broken() },
            ).forEach { case ->
                withClue(case.name) {
                    sentTo.clear()
                    probed.clear()
                    val forwarder = forwarder(case.targets)
                    notices.record("silent", TargetNotice(silence = 1.5.seconds))
                    repeat(14) {
                        forwarder.forward(request(send = case.send))
                        delay(100.milliseconds)
                    }
                    sentTo shouldNotContain "silent"
                    probed shouldNotContain "silent"
                }
            }
        }

    @Test
    fun `a target that asks for no requests while one is placed there does not get it`() =
        runTest {
            saidToProbe["silent"] = TargetNotice(silence = 5.seconds)
            val outcome = forwarder(listOf(registeredTarget("silent"))).forward(request())
            outcome.shouldBeInstanceOf<ForwardOutcome.NotRun>().retryAfter shouldBeGreaterThanOrEqualTo 4.9.seconds
            sentTo.shouldBeEmpty()
        }

    @Test
    fun `a target that says so while the connection is opened does not get the request`() =
        runTest {
            listOf(TargetNotice(silence = 5.seconds), TargetNotice(isLeaving = true, silence = 0.1.seconds)).forEach { notice ->
                sentTo.clear()
                val forwarder = forwarder(listOf(registeredTarget("a")))
                forwarder.forward(request(beforeSending = { notices.record("a", notice) })).shouldBeInstanceOf<ForwardOutcome.NotRun>()
                sentTo.shouldBeEmpty()
            }
        }

    @Test
    fun `after a lost connection a target that wants no requests is not asked whether it lives`() =
        runTest {
            val forwarder = forwarder(listOf(registeredTarget("a")))
            forwarder.forward(
                request {
                    probed.clear()
                    notices.record("a", TargetNotice(silence = 5.seconds))
                    SendResult.Broken()
                },
            )
            probed.shouldBeEmpty()
        }

    @Test
    fun `callers are told to return when the first target takes requests again`() =
        runTest {
            val forwarder = forwarder(twoTargets)
            notices.record("leaving", TargetNotice(silence = 10.seconds))
            notices.record("other", TargetNotice(silence = 4.seconds))
            repeat(50) {
                val refusal = forwarder.forward(request()).shouldBeInstanceOf<ForwardOutcome.NotRun>()
                refusal.code shouldBe ResultCode.NO_TARGET
                refusal.retryAfter shouldBeGreaterThanOrEqualTo 4.seconds
                refusal.retryAfter shouldBeLessThan 6.seconds
            }
        }

    /** The load of a service whose only target asks for no requests while all its callers go on to call. */
    @Test
    fun `callers that were refused return gradually when the time ends`() =
        runTest {
            val forwarder = forwarder(listOf(registeredTarget("silent")))
            val silence = 2.seconds
            notices.record("silent", TargetNotice(silence = silence))
            val callers =
                List(CALLERS) { number ->
                    launch {
                        delay(silence * number / CALLERS)
                        while (true) {
                            val outcome = forwarder.forward(request())
                            if (outcome is ForwardOutcome.Answered) break
                            delay((outcome as ForwardOutcome.NotRun).retryAfter)
                        }
                    }
                }
            callers.forEach { it.join() }
            sentAt.min() shouldBeGreaterThanOrEqualTo silence
            val mostInWindow = sentAt.maxOf { start -> sentAt.count { it >= start && it < start + 100.milliseconds } }
            mostInWindow shouldBeLessThanOrEqual CALLERS / 4
        }

    private companion object {
        const val CALLERS = 200
        const val ENTRY_VMS = 20

        /** The time that a target takes for a request. */
        val RUN_TIME = 160.milliseconds
    }
}
