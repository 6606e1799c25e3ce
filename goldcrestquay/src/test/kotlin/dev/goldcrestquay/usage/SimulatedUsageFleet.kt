package dev.goldcrestquay.usage

import dev.goldcrestquay.machine.PausableDispatcher
import dev.goldcrestquay.machine.SocketAddress
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.withContext
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Some entry VMs that count runs, report them to whoever leads, and hold the duty, under virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class SimulatedUsageFleet(
    private val scope: TestScope,
    private val random: Random,
    isFenced: Boolean,
    count: Int = 4,
) {
    val settings = UsageSettings(5.seconds, 10.seconds, 3.seconds, callsPerSecond = 50.0)
    private val network = StandardTestDispatcher(scope.testScheduler)
    private val outside = CoroutineScope(scope.backgroundScope.coroutineContext + network)
    val store = SimulatedStore(outside, random)
    val api = SimulatedApi(outside, random, isFenced) { scope.currentTime }
    val events = mutableListOf<UsageEvent>()
    private val refusedTokens = HashSet<Long>()

    /** The tokens that were sent again after the platform had refused them. */
    val reusedTokens = mutableListOf<Long>()

    /** The runs counted, by window of the VM that counted them and by organisation. */
    val truth = HashMap<Long, HashMap<String, Long>>()

    inner class Vm(
        number: Int,
    ) {
        private val name = "vm-$number"
        private val address = SocketAddress("10.0.0.$number", 9000)
        var eventLoop = PausableDispatcher(scope.testScheduler)
        var job: Job = Job()
        var isCut = false
        var leads = false

        /** By how much its clock is ahead. */
        var ahead = random.nextLong(-400, 400)
        private var startedAt = 0L
        private var releasedAt = Long.MIN_VALUE / 2
        lateinit var feed: UsageFeed
        private val process get() = "$name/$startedAt"
        val isFrozen get() = eventLoop.isPaused
        val isUp get() = job.isActive

        fun start() {
            eventLoop = PausableDispatcher(scope.testScheduler)
            isCut = false
            val clock = { scope.currentTime.milliseconds }
            val wall = { START + scope.currentTime + ahead }
            startedAt = wall()
            val time = TrueTime(clock, wall)
            val counts = UsageCounts(process, settings, time)
            feed = UsageFeed(counts, clock)
            val role = UsageRole(name, process, { leads }) { vms.filter { it.isUp }.minOf { it.startedAt } }
            val links = UsageLinks(remote(store.link(::pass)), ::send)
            val duty = UsageDuty(role, settings, links, counts, time, clock) { events += it }
            job =
                scope.backgroundScope.launch(eventLoop) {
                    launch { duty.run() }
                    launch { work(counts, time) }
                    launch { exchange() }
                }
        }

        private fun remote(link: UsageStoreLink) =
            UsageStoreLink(
                { withContext(network) { link.newest() } },
                { withContext(network) { link.read(it) } },
                { key, value, end -> withContext(network) { link.append(key, value, end) } },
            )

        private suspend fun pass() {
            while (isCut) delay(50)
        }

        /** What was sent arrives, also when a cut link is whole again or the caller has given up meanwhile. */
        private suspend fun send(
            call: UsageCall,
            maySend: () -> Boolean,
        ): UsageAnswer {
            if (!maySend()) return UsageAnswer.Unknown("not sent")
            val isExcused = isCut || scope.currentTime - releasedAt < THAW_SLACK
            val answer = CompletableDeferred<UsageAnswer>()
            outside.launch {
                pass()
                delay(random.nextLong(1, 10))
                answer.complete(api.call(call, isExcused).also { pass() })
            }
            if (call.token in refusedTokens) reusedTokens += call.token
            return answer.await().also { if (it == UsageAnswer.Fenced) refusedTokens += call.token }
        }

        private suspend fun work(
            counts: UsageCounts,
            time: TrueTime,
        ) {
            while (true) {
                delay(random.nextLong(20, 120))
                val sentAt = scope.currentTime.milliseconds
                val window = settings.windowAt(time.at(sentAt))
                val organisation = "org-${random.nextInt(ORGANISATIONS)}"
                delay(random.nextLong(1, 900))
                counts.record(organisation, sentAt)
                truth.getOrPut(window) { HashMap() }.merge(organisation, 1, Long::plus)
            }
        }

        private suspend fun exchange() {
            while (true) {
                delay(500)
                vms.filter { it.leads && it !== this && it.isUp && !it.isFrozen && !it.isCut && !isCut }.forEach { leader ->
                    feed.reportTo(leader.address, ownOnly = leads)?.let { report ->
                        leader.feed.merge(report.usage)
                        feed.recordDelivery(leader.address, leader.process, report)
                    }
                }
            }
        }

        fun thaw() {
            eventLoop.isPaused = false
            releasedAt = scope.currentTime
        }

        fun heal() {
            isCut = false
            releasedAt = scope.currentTime
        }
    }

    val vms = List(count) { Vm(it + 1) }

    /** Makes [leaders] lead, at once except those that are frozen, which learn of it when they go on. */
    fun lead(vararg leaders: Vm) = vms.forEach { if (!it.isFrozen) it.leads = it in leaders }

    /** Breaks something: kills, freezes, cuts off, changes the leader, has two, moves a clock, or kills all at once. */
    suspend fun disturb() {
        val vm = vms.random(random)
        when (random.nextInt(8)) {
            0 -> restart(listOf(vm))
            1 -> restart(vms)
            2, 3 -> {
                vm.eventLoop.isPaused = true
                lead(vms.random(random))
                outside.launch { delay(random.nextLong(200, 12_000)).also { vm.thaw() } }
            }
            4 -> {
                vm.isCut = true
                lead(vms.random(random), vm)
                outside.launch { delay(random.nextLong(200, 9_000)).also { vm.heal() } }
            }
            5 -> lead(vms.random(random), vms.random(random))
            6 -> lead(vms.random(random))
            7 -> vm.ahead += random.nextLong(-3_000, 3_000)
        }
    }

    private fun restart(killed: List<Vm>) {
        killed.forEach { it.job.cancel() }
        killed.forEach { vm ->
            vm.leads = false
            outside.launch { delay(random.nextLong(100, 2_500)).also { if (!vm.isUp) vm.start() } }
        }
    }

    /** Ends all trouble, and has one VM lead. */
    fun settle() {
        store.trouble = { Trouble.NONE }
        api.trouble = { Trouble.NONE }
        api.throttles = { false }
        vms.forEach {
            if (it.isFrozen) it.thaw()
            if (it.isCut) it.heal()
            if (!it.isUp) it.start()
            it.ahead = 0
        }
        lead(vms.random(random))
    }

    /** What is wrong about the windows from [first] to [last]: missing, late, or not the true counts. */
    fun misses(
        first: Long,
        last: Long,
    ): List<String> =
        (first..last).mapNotNull { window ->
            val (at, call) = api.accepted.firstOrNull { it.second.window == window } ?: return@mapNotNull "window $window is missing"
            val after = START + at - settings.startOf(window + 1)
            when {
                after > settings.dueAfter.inWholeMilliseconds -> "window $window came $after ms after its end"
                call.counts != truth[window].orEmpty() -> "window $window: ${call.counts} in place of ${truth[window]}"
                else -> null
            }
        }

    fun windowAt(virtualMilliseconds: Long): Long = settings.windowAt(START + virtualMilliseconds)

    companion object {
        /** The true time at which the simulation starts; a window starts then. */
        const val START = 1_767_225_600_000L
        const val THAW_SLACK = 300L
        private const val ORGANISATIONS = 5
    }
}
