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

/** One running entry VM of a [FakeFleet]; [name] is its peer address too. */
class FakeVm internal constructor(
    val name: String,
    val entryVm: EntryVm,
    internal val job: Job,
)

/** Totals of what the entry VMs of a fleet send and receive over their links; the log's totals include the snapshot stream. */
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
 * Runs the real decision code of many entry VMs under virtual time.
 *
 * The log, the VM list and the links between peers are in memory, and tests set which of them fail.
 *
 * @property exchangeSize returns the size of an exchange message in bytes.
 */
class FakeFleet(
    private val scope: TestScope,
    seed: Long,
    private val settings: EntrySettings = EntrySettings(),
    appendsPerSecond: Int = 300,
    private val exchangeSize: (ExchangeMessage) -> Int = { 0 },
) {
    val random = Random(seed)
    val clock: Clock = { scope.currentTime.milliseconds }
    val log = InMemoryLog(clock, appendsPerSecond)
    val snapshots = InMemoryLog(clock, appendsPerSecond)
    val vms = linkedMapOf<String, FakeVm>()
    val counts = LinkCounts()

    /** The entry VMs that cannot reach the log. */
    val cutFromLog = mutableSetOf<String>()

    /** Whether the first of two entry VMs can send to the second, both given by peer address. */
    var canReach: (String, String) -> Boolean = { _, _ -> true }

    /** The share of requests between peers that fail: half of these never arrive, the other half take effect but their reply is lost. */
    var lossProbability = 0.0

    /** The upper bound of the random delay of each message, in milliseconds. */
    var maximumDelayMilliseconds = 5L

    /** Returns the platform's list of entry VMs. */
    var listedVms: () -> List<ListedVm> = { vms.values.map { ListedVm(it.name, it.entryVm.members.self.dataCentre, it.name) } }

    /** Returns the result of probing a target. */
    var probe: (Target) -> Result<LoadReport, LinkFailure> = { Ok(LoadReport(0, 1, LONG_UPTIME_MILLISECONDS)) }

    private var lastIncarnation = 0L

    /** Starts an entry VM; its name is its peer address too. */
    fun start(
        name: String,
        dataCentre: String,
    ): FakeVm {
        val self = MemberRecord(name, ++lastIncarnation, 0, MemberStatus.ALIVE, dataCentre, "caller-$name", name)
        val entryVm = EntryVm(self, settings, links(name), Random(random.nextLong()))
        val job = scope.backgroundScope.launch { entryVm.control.run() }
        return FakeVm(name, entryVm, job).also { vms[name] = it }
    }

    /** Ends an entry VM at once, without the notice of leaving that a regular stop sends. */
    fun kill(name: String) {
        vms.remove(name)?.job?.cancel()
    }

    /** The state after every record that was ever appended, whether or not the log still retains it. */
    fun expectedState(): EnvironmentState =
        log.history.fold(EnvironmentState()) { state, entry -> state.after(entry.offset, LogRecords.read(entry.text)) }

    /** Appends a change from [from] to [environment], based on generation [base], also while the log is down. */
    fun publish(
        environment: Environment,
        base: Long = expectedState().generation,
        from: Environment? = expectedState().environment,
    ) {
        val wasDown = log.down
        log.down = false
        log.append(LogRecords.write(changeBetween("change-${random.nextLong()}", base, from, environment)))
        log.down = wasDown
    }

    private fun links(name: String): EntryLinks =
        EntryLinks(
            clock = clock,
            wallClock = { EPOCH_MILLISECONDS + scope.currentTime },
            log = LogLink(append = { append(name, log, it) }, read = { read(name, log, it) }),
            snapshots = LogLink(append = { append(name, snapshots, it) }, read = { read(name, snapshots, it) }),
            vmList = { afterDelay { Ok(listedVms()) } },
            peers =
                PeerLink(
                    exchange = { address, message ->
                        counts.exchanges++
                        counts.exchangeBytes += exchangeSize(message)
                        callPeer(name, address) { peer ->
                            peer.control.answerExchange(message).also { counts.exchangeBytes += exchangeSize(it) }
                        }
                    },
                    catchUp = { address, offset -> callPeer(name, address) { it.control.catchUp(offset) } },
                    ask = { address, question -> callPeer(name, address) { it.answer(question) } },
                ),
            probe = { target -> afterDelay { probe(target).also { counts.probes++ } } },
        )

    private suspend fun append(
        name: String,
        stream: InMemoryLog,
        text: String,
    ): Result<Long, LinkFailure> =
        afterDelay {
            counts.logAppends++
            counts.logAppendBytes += text.length
            if (name in cutFromLog || log.down) Err(LinkFailure.UNREACHABLE) else stream.append(text)
        }

    private suspend fun read(
        name: String,
        stream: InMemoryLog,
        from: Long,
    ) = afterDelay {
        counts.logReads++
        val result = if (name in cutFromLog || log.down) Err(LinkFailure.UNREACHABLE) else stream.read(from)
        result.onSuccess { batch -> counts.logReadBytes += batch.entries.sumOf { it.text.length } }
    }

    private suspend fun <T> callPeer(
        from: String,
        to: String,
        action: suspend (EntryVm) -> T,
    ): Result<T, LinkFailure> {
        delay(random.nextLong(maximumDelayMilliseconds + 1))
        val lost = random.nextDouble() < lossProbability
        val receiver = vms[to]?.takeIf { canReach(from, to) }
        if (receiver == null || (lost && random.nextBoolean())) return Err(LinkFailure.UNREACHABLE)
        val result = action(receiver.entryVm)
        delay(random.nextLong(maximumDelayMilliseconds + 1))
        return if (lost || !canReach(from, to)) Err(LinkFailure.REPLY_LOST) else Ok(result)
    }

    private suspend fun <T> afterDelay(action: () -> T): T {
        delay(random.nextLong(maximumDelayMilliseconds + 1))
        return action()
    }

    companion object {
        /** The wall-clock time at which virtual time starts, in milliseconds since 1970. */
        const val EPOCH_MILLISECONDS = 1_800_000_000_000L
        private const val LONG_UPTIME_MILLISECONDS = 3_600_000L
    }
}
