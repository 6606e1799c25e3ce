package dev.goldcrestquay.organisation

import dev.goldcrestquay.contract.PlannedOrganisation
import dev.goldcrestquay.contract.RequestKind
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.fleetMember
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.Feed
import dev.goldcrestquay.machine.FleetMembers
import dev.goldcrestquay.machine.PlanRecord
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.move.VersionEvidence
import dev.goldcrestquay.overload.FleetPressure
import dev.goldcrestquay.overload.RoomRefusalReason
import dev.goldcrestquay.overload.ScarceRoom
import dev.goldcrestquay.plannedOrganisation
import dev.goldcrestquay.plannedRoute
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.routePlan
import dev.goldcrestquay.routing.ColdTargetLimiter
import dev.goldcrestquay.routing.CrashTable
import dev.goldcrestquay.routing.Dispatch
import dev.goldcrestquay.routing.FleetRetryBudget
import dev.goldcrestquay.routing.ForwardEvent
import dev.goldcrestquay.routing.ForwardOutcome
import dev.goldcrestquay.routing.ForwardRequest
import dev.goldcrestquay.routing.ForwarderTables
import dev.goldcrestquay.routing.LoadSample
import dev.goldcrestquay.routing.PlannedStop
import dev.goldcrestquay.routing.ProbeBudget
import dev.goldcrestquay.routing.ProbeResult
import dev.goldcrestquay.routing.RelayPeers
import dev.goldcrestquay.routing.RelayTerms
import dev.goldcrestquay.routing.RequestForwarder
import dev.goldcrestquay.routing.RequestLimitShares
import dev.goldcrestquay.routing.RetryLimits
import dev.goldcrestquay.routing.SplitChooser
import dev.goldcrestquay.routing.TargetReach
import dev.goldcrestquay.routing.TargetSampler
import dev.goldcrestquay.routing.TargetTable
import dev.goldcrestquay.targetRecord
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
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

/** Requests of callers with keys while the plan changes, as the forwarder of one entry VM handles them. */
@OptIn(ExperimentalCoroutinesApi::class)
class OrganisationRequestTest {
    private val runs = mutableListOf<Pair<String, Duration>>()
    private val events = mutableListOf<ForwardEvent>()
    private val sentFor = mutableListOf<CallerOrganisation>()
    private val relayed = mutableListOf<RelayTerms>()
    private lateinit var state: SharedState
    private lateinit var reach: TargetReach
    private lateinit var members: FleetMembers
    private var busy = 0
    private var onRelay: () -> Unit = { }

    private val organisations = listOf(plannedOrganisation("small", "key", "old key", priority = 0), plannedOrganisation("large", "other"))

    private fun putPlan(
        version: Long,
        organisations: List<PlannedOrganisation>,
        isPublic: Boolean = false,
    ): Boolean {
        val plan = routePlan(version, RequestKind.entries.map { plannedRoute(it, attempts = 3).copy(isPublic = isPublic) }, organisations)
        return state.apply(PlanRecord("config", version, plan)).also { state.confirmedAt?.let(state::confirm) }
    }

    private fun TestScope.forwarder(
        isConfirmed: Boolean = true,
        sharesScarceRoom: Boolean = false,
    ): RequestForwarder<String, String> {
        val clock = { currentTime.milliseconds }
        state = SharedState(clock)
        state.markComplete(Feed.VERDICTS, 0)
        if (isConfirmed) state.confirm(clock())
        listOf("a", "b", "c").forEachIndexed { index, id -> state.apply(targetRecord(registeredTarget(id), index.toLong())) }
        reach = TargetReach(clock)
        members = FleetMembers(fleetMember(1).copy(formatVersion = 2), clock)
        val random = Random(3)
        val names = { listOf("vm-1") }
        val table = TargetTable(state, "north", clock, random, ColdTargetLimiter("vm-1", clock, names), RequestLimitShares("vm-1", names))
        val sampler =
            TargetSampler<String>(clock, random, backgroundScope, ProbeBudget({ 60.0 }, clock) { 1 }, { target, _ ->
                delay(1)
                ProbeResult(LoadSample(4.coerceAtMost(busy), (busy - 4).coerceAtLeast(0), 4, 1.0, true), target.id)
            }) { }
        val tables =
            ForwarderTables(
                state,
                table,
                FleetRetryBudget({ RetryLimits(0.2, 56.0, 10.seconds) }, clock) { 1 },
                SplitChooser(random),
                VersionEvidence(clock),
                CrashTable(clock),
                reach,
                RelayPeers(members, random),
                PlannedStop(clock) { 6.seconds },
                { organisation, sentAt -> runs += organisation to sentAt },
                if (sharesScarceRoom) ScarceRoom(clock, Random(1), FleetPressure(clock)) else null,
            ) { }
        return RequestForwarder(tables, sampler, clock, random, events::add)
    }

    private fun TestScope.request(
        key: String?,
        origin: RelayTerms? = null,
        kind: RequestKind = RequestKind.UNSAFE,
        deadline: Duration = 3.seconds,
        send: suspend (Dispatch<String>) -> SendResult<String> = { SendResult.Replied("done") },
    ): ForwardRequest<String, String> =
        ForwardRequest(
            "r1",
            "shop.example",
            "/${kind.name.lowercase()}/x",
            0,
            currentTime.milliseconds,
            deadline,
            { dispatch ->
                if (!dispatch.confirm()) {
                    SendResult.Refused(Refusal.WITHDRAWN)
                } else {
                    sentFor += dispatch.callerOrganisation()
                    send(dispatch)
                }
            },
            { _, terms ->
                relayed += terms
                onRelay()
                ForwardOutcome.NotRun(ResultCode.NOT_READY, Duration.ZERO)
            },
            origin,
            CallerCredentials(origin?.caller) { key?.let { CallerKey.of(it) } },
        ) { 1 }

    private suspend fun TestScope.sendBriefly(
        forwarder: RequestForwarder<String, String>,
        key: String,
    ): ResultCode? =
        request(key) {
            delay(100)
            SendResult.Replied("done")
        }.codeFrom(forwarder)

    private suspend fun ForwardRequest<String, String>.codeFrom(forwarder: RequestForwarder<String, String>): ResultCode? =
        (forwarder.forward(this) as? ForwardOutcome.NotRun)?.code

    @Test
    fun `without a plan that is known to be in force a request is refused for now, never as of an unknown caller`() =
        runTest {
            val forwarder = forwarder(isConfirmed = false)
            request("key").codeFrom(forwarder) shouldBe ResultCode.NOT_READY
            putPlan(1, organisations)
            withClue("a plan of unknown age") { request("new").codeFrom(forwarder) shouldBe ResultCode.NOT_READY }
            state.confirm(currentTime.milliseconds)
            request("new").codeFrom(forwarder) shouldBe ResultCode.UNKNOWN_CALLER
            delay(2100)
            withClue("an old plan") { request("new").codeFrom(forwarder) shouldBe ResultCode.NOT_READY }
            request("key").codeFrom(forwarder) shouldBe null
        }

    @Test
    fun `an unknown caller is refused before its body is read, but not on a route that does not exist`() =
        runTest {
            val forwarder = forwarder()
            putPlan(1, organisations)
            val now = currentTime.milliseconds

            fun refuse(
                key: String?,
                path: String = "/upload/x",
            ) = forwarder.refuseEarly("r1", "shop.example", path, null, now, CallerCredentials { key?.let { CallerKey.of(it) } })?.code
            refuse(null) shouldBe ResultCode.UNKNOWN_CALLER
            refuse("new") shouldBe ResultCode.UNKNOWN_CALLER
            refuse("key") shouldBe null
            refuse(null, "/nowhere") shouldBe null
            events.clear()
            request(null).codeFrom(forwarder) shouldBe ResultCode.UNKNOWN_CALLER
            withClue("counts for no service") { events.filterIsInstance<ForwardEvent.Ended>().single().service shouldBe null }
        }

    @Test
    fun `a key that is taken away while its request is retried, or a connection opened, lets nothing more run`() =
        runTest {
            val forwarder = forwarder()
            putPlan(1, organisations)
            val retried =
                request("old key") {
                    putPlan(2, listOf(plannedOrganisation("small", "key")))
                    SendResult.Refused(Refusal.SHEDDING)
                }
            retried.codeFrom(forwarder) shouldBe ResultCode.UNKNOWN_CALLER
            sentFor.size shouldBe 1
            launch {
                delay(1)
                putPlan(3, listOf(plannedOrganisation("small", "new")))
            }
            withClue("while targets are probed") { request("key").codeFrom(forwarder) shouldBe ResultCode.UNKNOWN_CALLER }
            sentFor.size shouldBe 1
            runs.shouldBeEmpty()
            putPlan(2, organisations) shouldBe false
            request("key").codeFrom(forwarder) shouldBe ResultCode.UNKNOWN_CALLER
        }

    @Test
    fun `a caller without a key waits in vain once its route is no longer public`() =
        runTest {
            val forwarder = forwarder()
            putPlan(1, organisations, isPublic = true)
            request(null).codeFrom(forwarder) shouldBe null
            val retried =
                request(null) {
                    putPlan(2, organisations)
                    SendResult.Refused(Refusal.SHEDDING)
                }
            retried.codeFrom(forwarder) shouldBe ResultCode.UNKNOWN_CALLER
            sentFor shouldBe List(2) { CallerOrganisation.Anonymous }
            runs.shouldBeEmpty()
        }

    @Test
    fun `each run is counted for its organisation at the time it was sent, and none that a target proves not to have run`() =
        runTest {
            val forwarder = forwarder()
            putPlan(1, organisations)
            val results =
                listOf(
                    SendResult.Replied("done") to 1,
                    SendResult.Replied("failed", failed = true) to 1,
                    SendResult.Broken() to 1,
                    SendResult.Refused(Refusal.SHEDDING) to 0,
                    SendResult.Refused(Refusal.CONNECTION_REFUSED) to 0,
                )
            for ((result, count) in results) {
                runs.clear()
                var sentAt = Duration.ZERO
                forwarder.forward(
                    request("other") {
                        sentAt = currentTime.milliseconds
                        delay(20)
                        result
                    },
                )
                withClue(result) { runs shouldBe List(count) { "large" to sentAt } }
                state.confirm(currentTime.milliseconds)
            }
            runs.clear()
            forwarder.forward(request("key", kind = RequestKind.SAFE) { SendResult.Broken() })
            withClue("each attempt of a lookup") { runs.map { it.first } shouldBe List(3) { "small" } }
            runs.clear()
            val cancelled = launch { forwarder.forward(request("key") { awaitCancellation() }) }
            delay(100)
            cancelled.cancel()
            cancelled.join()
            withClue("the caller left") { runs.size shouldBe 1 }
        }

    @Test
    fun `a run is counted for the organisation it was sent for, though the key is taken away before a second send`() =
        runTest {
            val forwarder = forwarder()
            putPlan(1, organisations)

            suspend fun send(took: Duration) =
                request("key", kind = RequestKind.SAFE, deadline = 600.milliseconds) {
                    delay(took)
                    SendResult.Replied("done")
                }.codeFrom(forwarder)
            repeat(10) { send(50.milliseconds) shouldBe null }
            runs.clear()
            launch {
                delay(10)
                putPlan(2, listOf(plannedOrganisation("small", "new")))
            }
            send(300.milliseconds) shouldBe null
            withClue("the second target") { events.filterIsInstance<ForwardEvent.SentTwice>().size shouldBe 1 }
            sentFor.size shouldBe 11
            runs.map { it.first } shouldBe listOf("small")
        }

    @Test
    fun `an organisation's priority goes before the route's, and lines name the organisation`() =
        runTest {
            val forwarder = forwarder()
            putPlan(1, organisations)
            busy = 40
            for ((key, priority) in listOf("key" to 0, "other" to 1)) {
                events.clear()
                request(key).codeFrom(forwarder) shouldBe ResultCode.OVERLOADED
                val refused = events.filterIsInstance<ForwardEvent.Refused>().single()
                refused.view.priority shouldBe priority
                refused.organisation shouldBe if (priority == 0) "small" else "large"
                events.filterIsInstance<ForwardEvent.Ended>().single().organisation shouldBe refused.organisation
                events.toString().contains(organisations.first().keyDigests.first()) shouldBe false
            }
        }

    @Test
    fun `a full service is shared among organisations`() =
        runTest {
            val forwarder = forwarder()
            putPlan(1, listOf(plannedOrganisation("small", "key"), plannedOrganisation("large", "other")))
            repeat(10) { sendBriefly(forwarder, "other") shouldBe null }
            busy = 12
            sendBriefly(forwarder, "key") shouldBe ResultCode.OVERLOADED
            withClue(events.filterIsInstance<ForwardEvent.Refused>().map { it.view }) { sendBriefly(forwarder, "key") shouldBe null }
            request("other").codeFrom(forwarder) shouldBe ResultCode.OVERLOADED
        }

    @Test
    fun `where kinds of requests share scarce room, a refusal stands though the organisation is starved`() =
        runTest {
            val forwarder = forwarder(sharesScarceRoom = true)
            putPlan(1, listOf(plannedOrganisation("small", "key"), plannedOrganisation("large", "other")))
            repeat(10) { sendBriefly(forwarder, "other") shouldBe null }
            busy = 12
            repeat(6) { sendBriefly(forwarder, "key") shouldBe ResultCode.OVERLOADED }
            events.filterIsInstance<ForwardEvent.Refused>().map { it.room?.reason } shouldBe List(6) { RoomRefusalReason.NO_ROOM }
        }

    @Test
    fun `where kinds of requests share scarce room, an organisation gives way to none that is starved`() =
        runTest {
            val forwarder = forwarder(sharesScarceRoom = true)
            putPlan(1, listOf(plannedOrganisation("small", "key"), plannedOrganisation("large", "other")))
            repeat(10) { sendBriefly(forwarder, "other") shouldBe null }
            busy = 200
            repeat(6) { sendBriefly(forwarder, "key") shouldBe ResultCode.OVERLOADED }
            busy = 5
            repeat(6) { sendBriefly(forwarder, "other") shouldBe null }
        }

    @Test
    fun `a cut-off entry VM relays the organisation's name and plan to peers that know them, and nothing once the key is taken away`() =
        runTest {
            val forwarder = forwarder()
            putPlan(4, organisations)
            (1..8).forEach { reach.recordContact("t$it", isAnswered = false) }
            members.recordHeartbeat(fleetMember(2).copy(formatVersion = 1))
            forwarder.forward(request("key"))
            withClue("an earlier release") { relayed.shouldBeEmpty() }
            members.recordHeartbeat(fleetMember(3).copy(formatVersion = 2))
            forwarder.forward(request("key"))
            relayed.single().caller shouldBe RelayedCaller(4, "small")
            putPlan(5, listOf(plannedOrganisation("small", "new")))
            request("key").codeFrom(forwarder) shouldBe ResultCode.UNKNOWN_CALLER
            members.recordHeartbeat(fleetMember(4).copy(formatVersion = 2))
            onRelay = { putPlan(6, organisations) }
            withClue("between two peers") { request("new").codeFrom(forwarder) shouldBe ResultCode.UNKNOWN_CALLER }
            relayed.map { it.caller } shouldBe listOf(RelayedCaller(4, "small"), RelayedCaller(5, "small"))
            onRelay = { }
            relayed.clear()
            putPlan(7, emptyList())
            forwarder.forward(request("key"))
            withClue("earlier releases too are asked where there are no organisations") {
                relayed.map { it.caller } shouldBe
                    List(3) { null }
            }
        }

    @Test
    fun `a relayed request runs for the organisation that its terms name as long as that has lost no key since`() =
        runTest {
            val forwarder = forwarder()
            putPlan(4, organisations)

            suspend fun relay(
                version: Long,
                name: String?,
            ) = request(null, RelayTerms("vm-7", Duration.ZERO, 1, RelayedCaller(version, name))).codeFrom(forwarder)
            relay(4, "small") shouldBe null
            relay(3, "small") shouldBe ResultCode.NOT_READY
            relay(4, "unknown") shouldBe ResultCode.NOT_READY
            relay(5, "unknown") shouldBe null
            putPlan(5, listOf(plannedOrganisation("small", "key", "old key", "new"), plannedOrganisation("large", "next")))
            relay(4, "small") shouldBe null
            relay(4, "large") shouldBe ResultCode.NOT_READY
            relay(5, "large") shouldBe null
            putPlan(6, listOf(plannedOrganisation("small", "key", "new"), plannedOrganisation("large", "next", "old key")))
            withClue("a key went to another") { relay(5, "small") shouldBe ResultCode.NOT_READY }
            relay(5, "large") shouldBe null
            sentFor.map { it.organisationName } shouldBe listOf("small", "unknown", "small", "large", "large")
            events.filterIsInstance<ForwardEvent.Sent>().first().organisation shouldNotBe null
            relay(7, null) shouldBe null
            sentFor.last().shouldBeInstanceOf<CallerOrganisation.Anonymous>()
        }

    @Test
    fun `a relayed request runs for its organisation at a peer that got the same plan without organisations from an earlier release`() =
        runTest {
            val forwarder = forwarder()
            putPlan(4, emptyList())

            suspend fun relay(
                version: Long,
                name: String?,
            ) = request(null, RelayTerms("vm-7", Duration.ZERO, 1, RelayedCaller(version, name))).codeFrom(forwarder)
            relay(4, "small") shouldBe null
            sentFor.single() shouldBe CallerOrganisation.Identified("small", null)
            relay(4, null) shouldBe null
            withClue("of a plan before the last organisation went") {
                relay(3, "small") shouldBe null
                relay(3, null) shouldBe null
            }
            sentFor.drop(1) shouldBe List(3) { CallerOrganisation.Anonymous }
        }

    @Test
    fun `a caller without a key is not unknown while the row of its public route can't be read`() =
        runTest {
            val forwarder = forwarder()
            putPlan(1, organisations, isPublic = true)
            val retried =
                request(null) {
                    val unreadable = plannedRoute(RequestKind.UNSAFE, destinations = emptyList(), attempts = 1)
                    state.apply(PlanRecord("config", 2, routePlan(2, listOf(unreadable), organisations)))
                    SendResult.Refused(Refusal.SHEDDING)
                }
            retried.codeFrom(forwarder) shouldBe ResultCode.TARGET_REFUSED
            sentFor shouldBe List(3) { CallerOrganisation.Anonymous }
            withClue("a request that comes later") { request(null).codeFrom(forwarder) shouldBe ResultCode.NO_TARGET }
        }
}
