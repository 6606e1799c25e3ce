package dev.goldcrestquay.machine

import dev.goldcrestquay.contract.RequestKind
import dev.goldcrestquay.contract.RoutePlan
import dev.goldcrestquay.fleetMember
import dev.goldcrestquay.move.RolloutOrder
import dev.goldcrestquay.move.RolloutOutcome
import dev.goldcrestquay.move.RolloutPhase
import dev.goldcrestquay.move.RolloutState
import dev.goldcrestquay.move.RolloutVerdict
import dev.goldcrestquay.move.VersionCount
import dev.goldcrestquay.overload.KindLoad
import dev.goldcrestquay.overload.ServiceLoad
import dev.goldcrestquay.planRecord
import dev.goldcrestquay.plannedOrganisation
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.routePlan
import dev.goldcrestquay.routing.CrashSuspicion
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.time.Duration.Companion.seconds

/** What entry VMs of earlier releases send each other, and whether those can read what this one sends; the messages were made by them. */
class EarlierReleaseTest {
    private val json = Json { ignoreUnknownKeys = true }

    private fun text(
        release: String,
        name: String,
    ): String = checkNotNull(javaClass.getResource("/releases/$release/$name.json")).readText()

    /** The first of the two releases knows neither what a member reaches nor from where on its records are complete. */
    private fun request(release: String): ExchangeRequest {
        val isLater = release == LATER
        return ExchangeRequest(
            sender = fleetMember(2).copy(accepting = false, reachesTargets = !isLater),
            known = ReplicationPosition("vm-1/5", 7, 3, 4, 2),
            holdMilliseconds = 400,
            observed = listOf(fleetMember(3)),
            evidence = mapOf("vm-2/1" to listOf(VersionCount("shop", "v2", "route", 9, 1, 120.5, mapOf(3 to 8L)))),
            isLeader = true,
            crashes = listOf(CrashSuspicion(77, 2, 1, 300)),
            completeThrough = if (isLater) mapOf(Feed.OPERATOR to 6L) else emptyMap(),
            epoch = if (isLater) 1 else 0,
        )
    }

    private fun reply(release: String): ExchangeReply {
        val isLater = release == LATER
        val order = RolloutOrder("shop", "v2", 20.seconds)
        return ExchangeReply(
            position = ReplicationPosition("vm-1/5", 8, null, 5, 3),
            heldMilliseconds = 12,
            ageMilliseconds = 340,
            leader = SocketAddress("10.1.0.1", 9000),
            storeUnavailable = true,
            records =
                listOf(
                    TargetRecord("a", 1, registeredTarget("a", TargetPhase.DRAINING, warmUpLeft = 2.seconds, startedAt = 5), 1),
                    TargetRecord("b", 2, null, 1, registeredTarget("b")),
                    planRecord(3),
                    RolloutRecord("rollout/shop", 4, "shop", order, 1),
                    RolloutRecord("rollout/other", 5, "other", null, 1),
                    EvacuationRecord("evacuate/north", 6, "north", true, 1),
                    VerdictRecord("rollout/shop", 7, "shop", RolloutVerdict("v2", RolloutOutcome.RUNNING), 1),
                    VerdictRecord("rollout/other", 8, "other", null, 1),
                ),
            members = MemberChanges(true, listOf(fleetMember(1)), listOf("vm-9")),
            knowsObserved = true,
            rollouts = listOf(RolloutState(order, RolloutPhase.TRIAL, 0.25)),
            completeThrough = mapOf(Feed.TARGETS to 2L, Feed.VERDICTS to 8L),
            epoch = 1,
            crashes = listOf(CrashSuspicion(78, 1, 0, 20)),
            isWhole = !isLater,
            completeFrom = if (isLater) mapOf(Feed.TARGETS to 1L) else null,
        )
    }

    @ParameterizedTest
    @ValueSource(strings = [EARLIER, LATER])
    fun `messages of an earlier release are read in full, and what they lack has a meaning`(release: String) {
        json.decodeFromString(ExchangeRequest.serializer(), text(release, "exchange-request")) shouldBe request(release)
        json.decodeFromString(ExchangeReply.serializer(), text(release, "exchange-reply")) shouldBe reply(release)
    }

    /** Earlier releases ignore fields that they do not know, so it is enough that theirs are there with the same values. */
    @ParameterizedTest
    @ValueSource(strings = [EARLIER, LATER])
    fun `messages of this release hold each field that an earlier one writes`(release: String) {
        val request = json.encodeToJsonElement(ExchangeRequest.serializer(), request(release))
        val reply = json.encodeToJsonElement(ExchangeReply.serializer(), reply(release))
        missing(request, json.parseToJsonElement(text(release, "exchange-request"))) shouldBe emptyList()
        missing(reply, json.parseToJsonElement(text(release, "exchange-reply"))) shouldBe emptyList()
    }

    /** A fleet that does not share scarce room sends what it sent before; one that does is understood by earlier releases. */
    @Test
    fun `loads and levels are sent only where they are shared`() {
        json.encodeToString(ExchangeRequest.serializer(), request(LATER)) shouldNotContain "loads"
        json.encodeToString(ExchangeReply.serializer(), reply(LATER)) shouldNotContain "levels"
        val loads = listOf(ServiceLoad("shop", listOf(KindLoad("route", 1, false, 2.0, 300.0, 0.5, 0.25, 1.0, 0.0))))
        val sharing = request(LATER).copy(loads = loads)
        val text = json.encodeToString(ExchangeRequest.serializer(), sharing)
        json.decodeFromString(ExchangeRequest.serializer(), text) shouldBe sharing
        val sent = json.encodeToJsonElement(ExchangeRequest.serializer(), sharing)
        missing(sent, json.parseToJsonElement(text(LATER, "exchange-request"))) shouldBe emptyList()
    }

    /** Earlier releases ignore organisations; a plan without them is written as they write it. */
    @Test
    fun `organisations of a plan are passed on as digests, and absent ones mean none`() {
        val plan = routePlan(7, organisations = listOf(plannedOrganisation("a", "secret", priority = 1)))
        val text = json.encodeToString(RoutePlan.serializer(), plan)
        json.decodeFromString(RoutePlan.serializer(), text) shouldBe plan
        text.contains("secret") shouldBe false
        json.encodeToString(RoutePlan.serializer(), routePlan(7)).let { it.contains("organisations") || it.contains("isPublic") } shouldBe
            false
    }

    @Test
    fun `fields of a later release are ignored`() {
        val extended = text(LATER, "exchange-request").replaceFirst("{", """{"later": {"a": [1]},""")
        json.decodeFromString(ExchangeRequest.serializer(), extended) shouldBe request(LATER)
    }

    /** An earlier release can't read a message with a name that it does not know, so none may be added without a version of the format. */
    @Test
    fun `the names of kinds and states are those that earlier releases know`() {
        Feed.entries.map { it.name }.shouldContainExactly("OPERATOR", "TARGETS", "VERDICTS")
        TargetPhase.entries.map { it.name }.shouldContainExactly("READY", "DRAINING")
        RequestKind.entries.map { it.name }.shouldContainExactly("SAFE", "UNSAFE", "UPLOAD", "DOWNLOAD")
        RolloutOutcome.entries.map { it.name }.shouldContainExactly("RUNNING", "COMPLETED", "ROLLED_BACK")
        RolloutPhase.entries.map { it.name }.shouldContainExactly("TRIAL", "SHIFTED", "COMPLETED", "ROLLED_BACK")
        val types = reply(LATER).records.map { json.encodeToJsonElement(SharedRecord.serializer(), it) as JsonObject }
        types.map { it["type"].toString().trim('"') }.distinct() shouldContainExactly
            listOf("target", "plan", "rollout", "evacuation", "verdict")
        withClue("kinds of records") { SharedRecord::class.java.permittedSubclasses.size shouldBe 5 }
    }

    /** The places at which [actual] lacks or changes what [expected] holds. */
    private fun missing(
        actual: JsonElement?,
        expected: JsonElement,
        place: String = "",
    ): List<String> =
        when {
            expected is JsonObject && actual is JsonObject ->
                expected.flatMap { (name, value) ->
                    missing(actual[name], value, "$place/$name")
                }
            expected is JsonArray && actual is JsonArray && expected.size == actual.size ->
                expected.indices.flatMap { missing(actual[it], expected[it], "$place/$it") }
            actual == expected -> emptyList()
            else -> listOf("$place: $actual in place of $expected")
        }

    private companion object {
        const val EARLIER = "7fe195f"
        const val LATER = "81aa787"
    }
}
