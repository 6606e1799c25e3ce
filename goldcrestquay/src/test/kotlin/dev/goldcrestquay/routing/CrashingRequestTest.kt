package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.RequestKind
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.FakeFleet
import dev.goldcrestquay.machine.FakeStore
import dev.goldcrestquay.machine.Feed
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.planRecord
import dev.goldcrestquay.registeredTarget
import dev.goldcrestquay.targetRecord
import io.kotest.assertions.withClue
import io.kotest.matchers.ints.shouldBeAtLeast
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A request that ends each target that runs it, sent again and again by callers that choose an entry VM at random. */
@OptIn(ExperimentalCoroutinesApi::class)
class CrashingRequestTest {
    private val random = Random(1)

    /** A target that ends when it runs a crashing request, and is back three seconds later. */
    private class CrashingTarget(
        val registered: RegisteredTarget,
        private val scope: TestScope,
    ) {
        private var ended = CompletableDeferred<Unit>()
        private var backAt = Duration.ZERO

        val isRunning: Boolean get() = scope.currentTime.milliseconds >= backAt

        suspend fun run(crashes: Boolean): SendResult<String> {
            if (!isRunning) return SendResult.Refused(Refusal.CONNECTION_REFUSED)
            val endOfProcess = ended
            val isLost = withTimeoutOrNull(RUN_TIME) { endOfProcess.await() } != null
            if (!crashes && !isLost) return SendResult.Replied("done")
            if (crashes && !isLost) crash()
            return SendResult.Broken()
        }

        fun crash() {
            ended.complete(Unit)
            ended = CompletableDeferred()
            backAt = scope.currentTime.milliseconds + 3.seconds
        }
    }

    private inner class Deployment(
        private val scope: TestScope,
        targetCount: Int = 24,
        entryVmCount: Int = 13,
        dataCentres: Int = 1,
    ) {
        private val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }
        val targets = (1..targetCount).map { CrashingTarget(registeredTarget("t$it"), scope) }.associateBy { it.registered.id }
        val fleet = FakeFleet(scope, store, dataCentres = dataCentres)
        private val forwarders = HashMap<FakeFleet.Node, RequestForwarder<String, String>>()

        /** The times at which the crashing request ended targets, and at which it was sent. */
        val crashes = mutableListOf<Duration>()
        val sends = mutableListOf<Duration>()

        init {
            targets.values.forEach { target -> store.write(Feed.TARGETS) { targetRecord(target.registered, it) } }
            (1..entryVmCount).forEach { number -> fleet.start(number).also { forwarders[it] = forwarder(it) } }
        }

        fun entryVm(): FakeFleet.Node = fleet.running.toList().random(random)

        suspend fun call(
            node: FakeFleet.Node,
            path: String,
            kind: RequestKind = RequestKind.SAFE,
            isCrashing: Boolean = false,
            isReset: Boolean = false,
        ): ForwardOutcome<String> {
            val now = { scope.currentTime.milliseconds }
            val fullPath = "/${kind.name.lowercase()}/$path"
            val request =
                ForwardRequest<String, String>("r", "shop.example", fullPath, 0, now(), 1500.milliseconds, { dispatch ->
                    if (isCrashing) sends += now()
                    if (isReset) return@ForwardRequest SendResult.Broken()
                    val result = targets.getValue(dispatch.target.id).run(isCrashing)
                    if (isCrashing && result is SendResult.Broken) crashes += now()
                    result
                }) { requestFingerprint("GET", "shop.example", fullPath, ByteArray(0)) }
            return forwarders.getValue(node).forward(request)
        }

        private fun forwarder(node: FakeFleet.Node): RequestForwarder<String, String> {
            val clock = { scope.currentTime.milliseconds }
            val members = { node.members.alive.map { it.name } }
            val self = node.members.self
            val limiter = ColdTargetLimiter(self.name, clock, members)
            val table = TargetTable(node.state, self.dataCentre, clock, random, limiter, RequestLimitShares(self.name, members))
            val sampler =
                TargetSampler<String>(clock, random, scope.backgroundScope, ProbeBudget({ 60.0 }, clock) { members().size }, { target, _ ->
                    delay(1)
                    if (targets.getValue(target.id).isRunning) ProbeResult(LoadSample(0, 0, 4, 1.0, true), target.id) else null
                }) { }
            val budget = FleetRetryBudget({ RetryLimits(0.2, 56.0, 10.seconds) }, clock) { members().size }
            val peers = RelayPeers(node.members, random)
            val tables =
                ForwarderTables(
                    node.state,
                    table,
                    budget,
                    SplitChooser(random),
                    node.evidence,
                    node.crashes,
                    TargetReach(clock),
                    peers,
                    PlannedStop(clock) { 6.seconds },
                    refreshRecords = node.refresher::refreshIfOld,
                )
            return RequestForwarder(tables, sampler, clock, random) { }
        }
    }

    /** Entry VMs in touch may send it three times more later than this after it has ended its third target. */
    private fun Deployment.lateSends(): Int = sends.count { it > crashes[2] + CONTACT }

    @Test
    fun `a request that ended three targets is sent no more by any entry VM`() =
        runTest {
            for (kind in listOf(RequestKind.SAFE, RequestKind.UNSAFE)) {
                for (interval in listOf(20.milliseconds, 120.milliseconds, 900.milliseconds, 2500.milliseconds)) {
                    val deployment = Deployment(this)
                    delay(4.seconds)
                    repeat(if (interval < 1.seconds) 100 else 30) {
                        launch { deployment.call(deployment.entryVm(), "crash", kind, isCrashing = true) }
                        delay(interval)
                    }
                    delay(2.seconds)
                    withClue("$kind every $interval, ${deployment.crashes.size} targets ended") {
                        deployment.crashes.size shouldBeAtLeast 3
                        deployment.lateSends() shouldBeLessThanOrEqual 3
                    }
                    deployment.fleet.running
                        .toList()
                        .forEach { deployment.fleet.kill(it) }
                }
            }
        }

    @Test
    fun `a request whose connections are reset at targets that live on is not blocked`() =
        runTest {
            val deployment = Deployment(this)
            delay(4.seconds)
            repeat(10) {
                deployment.call(deployment.entryVm(), "reset", RequestKind.SAFE, isReset = true)
                delay(300)
            }
            val outcome = deployment.call(deployment.entryVm(), "reset", RequestKind.SAFE)
            outcome.shouldBeInstanceOf<ForwardOutcome.Answered<String>>()
            deployment.fleet.running
                .toList()
                .forEach { deployment.fleet.kill(it) }
        }

    @Test
    fun `a request that ended three targets is known to entry VMs that start later and while the leader changes`() =
        runTest {
            val deployment = Deployment(this)
            delay(4.seconds)
            val leader = deployment.fleet.leaders.single()
            repeat(60) { round ->
                if (round == 3) deployment.fleet.kill(leader)
                launch { deployment.call(deployment.entryVm(), "crash", isCrashing = true) }
                delay(250.milliseconds)
            }
            deployment.lateSends() shouldBeLessThanOrEqual 3
        }

    /** Entry VMs count as in touch again three seconds after a cut has healed. */
    @Test
    fun `an entry VM that was cut off from its peers knows of a blocked request once the cut has healed`() =
        runTest {
            val deployment = Deployment(this)
            delay(4.seconds)
            val cutOff =
                deployment.fleet.running
                    .filterNot { it.replicator.isLeader }
                    .take(2)
            val addresses = cutOff.map { it.members.self.peerAddress }
            deployment.fleet.connected = { from, to -> from !in addresses && to !in addresses }
            repeat(20) {
                launch { deployment.call(deployment.entryVm(), "crash", isCrashing = true) }
                delay(100.milliseconds)
            }
            deployment.fleet.connected = { _, _ -> true }
            delay(CONTACT)
            val sendsBefore = deployment.sends.size
            cutOff.forEach { node ->
                val outcome = deployment.call(node, "crash", isCrashing = true)
                outcome.shouldBeInstanceOf<ForwardOutcome.NotRun>().code shouldBe ResultCode.BLOCKED
            }
            deployment.sends.size shouldBe sendsBefore
        }

    /** The records reach most entry VMs over a tree of peers in their data centre. */
    @Test
    fun `a request that ended three targets is sent no more by any of a hundred entry VMs`() =
        runTest {
            val deployment = Deployment(this, targetCount = 60, entryVmCount = 100, dataCentres = 3)
            delay(6.seconds)
            repeat(150) {
                launch { deployment.call(deployment.entryVm(), "crash", isCrashing = true) }
                delay(50.milliseconds)
            }
            delay(2.seconds)
            deployment.lateSends() shouldBeLessThanOrEqual 3
        }

    /** Many callers ask for the same; several targets that run it at the time end for a reason of their own. */
    @Test
    fun `a request is not blocked because targets that ran it ended together`() =
        runTest {
            val deployment = Deployment(this)
            delay(4.seconds)
            var answered = 0
            repeat(400) { round ->
                if (round in listOf(100, 150, 200)) {
                    deployment.targets.values
                        .take(8)
                        .forEach { it.crash() }
                }
                launch { if (deployment.call(deployment.entryVm(), "popular") is ForwardOutcome.Answered) answered++ }
                delay(10.milliseconds)
            }
            delay(2.seconds)
            deployment.call(deployment.entryVm(), "popular").shouldBeInstanceOf<ForwardOutcome.Answered<String>>()
            answered shouldBeAtLeast 390
        }

    @Test
    fun `other requests are served while a request that ends targets is sent`() =
        runTest {
            val deployment = Deployment(this)
            delay(4.seconds)
            var answered = 0
            repeat(300) { round ->
                if (round % 5 == 0) launch { deployment.call(deployment.entryVm(), "crash", isCrashing = true) }
                launch { if (deployment.call(deployment.entryVm(), "other-$round") is ForwardOutcome.Answered) answered++ }
                delay(20.milliseconds)
            }
            delay(2.seconds)
            answered shouldBeAtLeast 295
        }

    private companion object {
        val RUN_TIME = 80.milliseconds
        val CONTACT = 3.seconds
    }
}
