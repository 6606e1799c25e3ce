package dev.goldcrestquay.benchmarks.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onSuccess
import dev.goldcrestquay.contract.Environment
import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.contract.LogRecords
import dev.goldcrestquay.contract.Target
import dev.goldcrestquay.contract.changeBetween
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.EntryLinks
import dev.goldcrestquay.link.ExchangeMessage
import dev.goldcrestquay.link.LinkFailure
import dev.goldcrestquay.link.LoadReport
import dev.goldcrestquay.link.LogLink
import dev.goldcrestquay.link.PeerLink
import dev.goldcrestquay.machine.EntrySettings
import dev.goldcrestquay.machine.EntryVm
import dev.goldcrestquay.machine.ListedVm
import dev.goldcrestquay.machine.MemberRecord
import dev.goldcrestquay.machine.MemberStatus
import dev.goldcrestquay.standins.InMemoryLog
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** One entry VM of a [FakeFleet]. */
class FakeVm internal constructor(
    val name: String,
    val vm: EntryVm,
    internal val job: Job,
)

/** Counters of what crosses the links of a fleet. */
class LinkCounts {
    var exchanges = 0L
    var exchangeBytes = 0L
    var logAppends = 0L
    var logReads = 0L
    var logReadBytes = 0L
    var logAppendBytes = 0L
    var probes = 0L
}

/**
 * Many entry VMs' real decision code under virtual time, with a log, VM list and peer links that fail when told to.
 *
 * @property measure gives the size of an exchange message in bytes.
 */
class FakeFleet(
    private val scope: TestScope,
    seed: Long,
    private val settings: EntrySettings = EntrySettings(),
    appendsPerSecond: Int = 300,
    private val measure: (ExchangeMessage) -> Int = { 0 },
) {
    val random = Random(seed)
    val clock: Clock = { scope.currentTime.milliseconds }
    val log = InMemoryLog(clock, appendsPerSecond)
    val snapshots = InMemoryLog(clock, appendsPerSecond)
    val vms = linkedMapOf<String, FakeVm>()
    val counts = LinkCounts()

    /** The entry VMs that cannot reach the log. */
    val cutFromLog = mutableSetOf<String>()

    /** Whether two entry VMs, given by peer address, reach each other. */
    var linked: (String, String) -> Boolean = { _, _ -> true }

    /** The share of exchanges that get lost, half of them after they took effect. */
    var lossShare = 0.0

    /** The longest delay of a message, in milliseconds. */
    var longestDelay = 5L

    /** What the platform's VM list shows. */
    var listed: () -> List<ListedVm> = { vms.values.map { ListedVm(it.name, it.vm.members.self.dataCentre, it.name) } }

    /** What a probe of a target brings. */
    var probe: (Target) -> Result<LoadReport, LinkFailure> = { Ok(LoadReport(0, 1, LONG_UP)) }

    private var started = 0L

    /** Starts an entry VM; its name is its peer address too. */
    fun start(
        name: String,
        dataCentre: String,
    ): FakeVm {
        val self = MemberRecord(name, ++started, 0, MemberStatus.ALIVE, dataCentre, "caller-$name", name)
        val vm = EntryVm(self, settings, links(name), Random(random.nextLong()))
        val job = scope.backgroundScope.launch { vm.control.run() }
        return FakeVm(name, vm, job).also { vms[name] = it }
    }

    /** Ends an entry VM at once. */
    fun kill(name: String) {
        vms.remove(name)?.job?.cancel()
    }

    /** The state that a reader of every record ever appended has. */
    fun truth(): EnvironmentState =
        log.history.fold(EnvironmentState()) { state, entry -> state.after(entry.offset, LogRecords.read(entry.text)) }

    /** Publishes [environment] based on generation [base], past all rate limits and outages. */
    fun publish(
        environment: Environment,
        base: Long = truth().generation,
        from: Environment? = truth().environment,
    ) {
        val down = log.down
        log.down = false
        log.append(LogRecords.write(changeBetween("change-${random.nextLong()}", base, from, environment)))
        log.down = down
    }

    private fun links(name: String): EntryLinks =
        EntryLinks(
            clock = clock,
            wallClock = { EPOCH_MILLISECONDS + scope.currentTime },
            log = LogLink(append = { append(name, log, it) }, read = { read(name, log, it) }),
            snapshots = LogLink(append = { append(name, snapshots, it) }, read = { read(name, snapshots, it) }),
            vmList = { pass { Ok(listed()) } },
            peers =
                PeerLink(
                    exchange = { address, message ->
                        counts.exchanges++
                        counts.exchangeBytes += measure(message)
                        reach(name, address) { vm -> vm.control.answerExchange(message).also { counts.exchangeBytes += measure(it) } }
                    },
                    catchUp = { address, offset -> reach(name, address) { it.control.catchUp(offset) } },
                    ask = { address, question -> reach(name, address) { it.answer(question) } },
                ),
            probe = { target -> pass { probe(target).also { counts.probes++ } } },
        )

    private suspend fun append(
        name: String,
        stream: InMemoryLog,
        text: String,
    ): Result<Long, LinkFailure> =
        pass {
            counts.logAppends++
            counts.logAppendBytes += text.length
            if (name in cutFromLog || log.down) Err(LinkFailure.UNREACHABLE) else stream.append(text)
        }

    private suspend fun read(
        name: String,
        stream: InMemoryLog,
        from: Long,
    ) = pass {
        counts.logReads++
        val result = if (name in cutFromLog || log.down) Err(LinkFailure.UNREACHABLE) else stream.read(from)
        result.onSuccess { batch -> counts.logReadBytes += batch.entries.sumOf { it.text.length } }
    }

    private suspend fun <T> reach(
        from: String,
        to: String,
        action: suspend (EntryVm) -> T,
    ): Result<T, LinkFailure> {
        delay(random.nextLong(longestDelay + 1))
        val lost = random.nextDouble() < lossShare
        val target = vms[to]?.takeIf { linked(from, to) }
        if (target == null || (lost && random.nextBoolean())) return Err(LinkFailure.UNREACHABLE)
        val result = action(target.vm)
        delay(random.nextLong(longestDelay + 1))
        return if (lost || !linked(from, to)) Err(LinkFailure.REPLY_LOST) else Ok(result)
    }

    private suspend fun <T> pass(action: () -> T): T {
        delay(random.nextLong(longestDelay + 1))
        return action()
    }

    companion object {
        /** The wall-clock time at which virtual time starts. */
        const val EPOCH_MILLISECONDS = 1_800_000_000_000L
        private const val LONG_UP = 3_600_000L
    }
}
