package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.PlannedService
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.machine.RegisteredTarget
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The target chosen for one attempt.
 *
 * @property connection the open connection of the target's probe; null if no probe was answered.
 * @property expectedFactor the expected time of the request, in multiples of its usual service time.
 * @property excess the number of slots that the target lacks to start the request at once.
 * @property probes the number of targets probed.
 * @property loadFactor the same as [expectedFactor] by the target's load alone, without what ranks targets by health and distance.
 */
public class ChosenTarget<Connection>(
    public val candidate: TargetCandidate,
    public val connection: Connection?,
    public val expectedFactor: Double,
    public val excess: Int,
    public val probes: Int,
    public val loadFactor: Double = expectedFactor,
)

/**
 * Chooses a target by probing the load of a few targets just before the request is sent.
 *
 * Machines become several times slower for about as long as one request takes, so older load figures say little, while probing a
 * few targets at once costs one round trip within the data centre. Targets of other data centres are probed when none in the
 * same data centre is good enough.
 */
public class TargetSampler<Connection>(
    private val clock: Clock,
    private val random: Random,
    private val scope: CoroutineScope,
    private val budget: ProbeBudget,
    private val probe: suspend (RegisteredTarget, PlannedService) -> ProbeResult<Connection>?,
    public val release: (Connection) -> Unit,
) {
    private class ProbeAnswer<Connection>(
        val candidate: TargetCandidate,
        val probe: ProbeResult<Connection>,
    )

    /** The number of requests that are waiting for probes. */
    private var activeChoices = 0

    /**
     * Chooses among [candidates], which must not be empty.
     *
     * Probes further rounds of targets until the best expected factor is below [acceptableFactor] or the probe budget is used up.
     * [transferBytes] are the expected bytes of the request and its response. While [areRecordsOld], a target whose health check fails
     * may have said that it leaves, and gets no request if another target can be chosen. A target that says so, or that it wants no
     * requests, only in reply to the probe is chosen if nothing better answers: see [TargetCandidate.allowance].
     */
    public suspend fun choose(
        candidates: List<TargetCandidate>,
        service: PlannedService,
        transferBytes: Int,
        acceptableFactor: Double = ACCEPTABLE_FACTOR,
        areRecordsOld: Boolean = false,
    ): ChosenTarget<Connection> {
        fun factor(answer: ProbeAnswer<Connection>) = factor(answer, transferBytes, areRecordsOld)
        val ranked = probeOrder(reachable(candidates))
        val answers = mutableListOf<ProbeAnswer<Connection>>()
        var probed = 0
        activeChoices++
        try {
            for (round in rounds(service.name, candidates.size)) {
                val group = ranked.drop(probed).take(round).let { it.take(budget.take(service.name, candidates.size, it.size)) }
                if (group.isEmpty()) break
                probed += group.size
                answers += probeAll(group, service)
                val best = answers.filter { it.candidate.allowance == TargetAllowance.OPEN }.minOfOrNull(::factor)
                if (best != null && best < acceptableFactor) break
            }
        } catch (exception: CancellationException) {
            answers.forEach { release(it.probe.connection) }
            throw exception
        } finally {
            activeChoices--
        }
        val best = answers.minWithOrNull(compareBy({ it.candidate.allowance }, { factor(it) }))
        answers.filter { it !== best }.forEach { release(it.probe.connection) }
        if (best == null) return chooseWithoutProbe(candidates, probed)
        return ChosenTarget(
            best.candidate,
            best.probe.connection,
            factor(best),
            best.probe.sample.excess,
            probed,
            best.probe.sample.expectedFactor(),
        )
    }

    /** Whether [target] answers a health check, so that its process lives although a connection to it was lost. */
    public suspend fun isAlive(
        target: RegisteredTarget,
        service: PlannedService,
    ): Boolean {
        val answer = withTimeoutOrNull(LIVENESS_TIMEOUT) { probe(target, service) } ?: return false
        release(answer.connection)
        return true
    }

    /**
     * The number of targets to probe in each round.
     *
     * Fewer targets are probed as the budget runs low: two probes for every request are better than many for some requests and
     * none for others. The same applies when many requests choose at once, such as after a restart of the process with all its
     * callers waiting: each probe costs milliseconds of processor time then, and four probes for each request would delay all.
     */
    private fun rounds(
        service: String,
        targets: Int,
    ): List<Int> {
        val fillLevel = budget.fillLevel(service, targets)
        return when {
            activeChoices > CONCURRENT_CHOICES_LIMIT -> SCARCE_ROUND
            fillLevel > AMPLE_FILL_LEVEL -> ROUND_SIZES
            fillLevel > SCARCE_FILL_LEVEL -> ROUND_SIZES.take(1)
            else -> SCARCE_ROUND
        }
    }

    /**
     * The order in which targets are probed.
     *
     * A first round of warm targets in the same data centre, then the cold ones that only this entry VM may use, then the other
     * warm targets in the same data centre, then those of other data centres.
     */
    private fun probeOrder(candidates: List<TargetCandidate>): List<TargetCandidate> {
        val (cold, warm) = candidates.shuffled(random).partition { it.isCold }
        val (nearby, distant) = warm.partition { it.isLocal }
        val localRanked = byPenalty(nearby)
        return localRanked.take(ROUND_SIZES.first()) + cold + localRanked.drop(ROUND_SIZES.first()) + byPenalty(distant)
    }

    /** Chooses by recent load samples and health when no target may be probed or none has answered. */
    private fun chooseWithoutProbe(
        candidates: List<TargetCandidate>,
        probed: Int,
    ): ChosenTarget<Connection> {
        val chosen = reachable(candidates).shuffled(random).minWith(compareBy({ it.allowance }, { recentFactor(it) }))
        val sample = recentSample(chosen)
        return ChosenTarget(chosen, null, recentFactor(chosen), sample?.excess ?: 0, probed, sample?.expectedFactor() ?: UNKNOWN_FACTOR)
    }

    /** The candidates that are not marked as unreachable, or all of them if every one is. */
    private fun reachable(candidates: List<TargetCandidate>): List<TargetCandidate> =
        candidates.filter { !it.health.isUnreachable }.ifEmpty { candidates }

    private fun recentSample(candidate: TargetCandidate): LoadSample? =
        candidate.health.sample?.takeIf { clock() - candidate.health.sampledAt < SAMPLE_LIFETIME }

    private fun recentFactor(candidate: TargetCandidate): Double {
        val slotCount = candidate.target.slots.coerceAtLeast(1)
        val ownLoadFactor = 1.0 + candidate.health.inFlight.toDouble() / slotCount
        return candidate.health.penalty() * (recentSample(candidate)?.expectedFactor() ?: UNKNOWN_FACTOR) * ownLoadFactor
    }

    /** Sorts by penalty, healthy targets first; the sort is stable, so that equals stay in the given random order. */
    private fun byPenalty(candidates: List<TargetCandidate>): List<TargetCandidate> =
        candidates.sortedBy { it.health.penalty() + if (it.health.isFull) FULL_PENALTY else 0.0 }

    private fun factor(
        answer: ProbeAnswer<Connection>,
        transferBytes: Int,
        areRecordsOld: Boolean,
    ): Double {
        val sample = answer.probe.sample
        val candidate = answer.candidate
        val healthFactor =
            when {
                sample.healthy -> 1.0
                areRecordsOld -> LEAVING_FACTOR
                candidate.health.isProvenHealthy() -> 1.0
                else -> UNHEALTHY_FACTOR
            }
        val distanceCost = if (candidate.isLocal) 0.0 else DISTANT_COST + transferBytes * DISTANT_BYTE_COST
        val coldFactor = if (candidate.isCold || sample.warmUpLeft > Duration.ZERO) COLD_FACTOR else 1.0
        return sample.expectedFactor() * candidate.health.penalty() * healthFactor * coldFactor + distanceCost
    }

    /** Probes all of [group] at once; replies after the timeout still update the target's health, but their connections are released. */
    private suspend fun probeAll(
        group: List<TargetCandidate>,
        service: PlannedService,
    ): List<ProbeAnswer<Connection>> {
        val answers = mutableListOf<ProbeAnswer<Connection>>()
        val started = clock()
        var outstanding = group.size
        var closed = false
        val roundEnded = CompletableDeferred<Unit>()
        group.forEach { candidate ->
            scope.launch {
                val probe = probe(candidate.target, service)
                outstanding--
                if (probe != null) candidate.health.recordSample(probe.sample) else candidate.health.recordUnreachable()
                when {
                    probe == null -> Unit
                    closed -> release(probe.connection)
                    else -> answers += ProbeAnswer(candidate, probe)
                }
                if (outstanding == 0 || (answers.isNotEmpty() && clock() - started > PROBE_TIMEOUT)) roundEnded.complete(Unit)
            }
        }
        try {
            if (withTimeoutOrNull(PROBE_TIMEOUT) { roundEnded.await() } == null && answers.isEmpty()) {
                withTimeoutOrNull(EXTENDED_PROBE_TIMEOUT) { roundEnded.await() }
            }
        } catch (exception: CancellationException) {
            answers.forEach { release(it.probe.connection) }
            throw exception
        } finally {
            closed = true
        }
        return answers.toList()
    }

    public companion object {
        private val SCARCE_ROUND = listOf(2)

        /** The fill level of the probe budget above which all rounds are allowed. */
        private const val AMPLE_FILL_LEVEL = 0.5

        /** The fill level of the probe budget up to which only two targets are probed for a request. */
        private const val SCARCE_FILL_LEVEL = 0.25

        /** The number of requests choosing at once above which only two targets are probed; a busy second has ten, spread out. */
        private const val CONCURRENT_CHOICES_LIMIT = 4

        /** The number of targets probed in each round; under light load, four include a fast target for 99 requests in 100. */
        private val ROUND_SIZES = listOf(4, 4, 8)

        /** The expected factor below which no further target is probed: a free slot on a machine that is not slowed down. */
        public const val ACCEPTABLE_FACTOR: Double = 1.7

        /** How long a load sample is used: about as long as a machine's slowdown lasts. */
        private val SAMPLE_LIFETIME = 150.milliseconds

        /** The timeout of one round of probes: several round trips between data centres. */
        private val PROBE_TIMEOUT = 15.milliseconds

        /** The additional timeout of a round in which no target has answered yet. */
        private val EXTENDED_PROBE_TIMEOUT = 60.milliseconds

        /** The timeout of the check whether a target lives; the address of a process that has ended refuses the connection at once. */
        private val LIVENESS_TIMEOUT = 100.milliseconds

        /** The factor of a target that reports itself as unhealthy, which ranks it behind healthy ones that are a few times slower. */
        private const val UNHEALTHY_FACTOR = 6.0

        /** The factor of a target that may be leaving, which ranks it behind all others. */
        private const val LEAVING_FACTOR = 1000.0

        /** The factor of a cold target, which takes about twice as long. */
        private const val COLD_FACTOR = 2.0

        /** The cost of a request to another data centre, in service times: a few hundredths of one. */
        private const val DISTANT_COST = 0.05

        /** The cost of each byte moved between data centres, in service times: a photograph of 60 kB costs half a service time. */
        private const val DISTANT_BYTE_COST = 0.000008

        /** The expected factor of a target without a recent load sample: the mean over slowed-down and normal machines. */
        private const val UNKNOWN_FACTOR = 2.0

        /** The addition to the penalty of a target that has just shed a request, so that it is probed after the healthy ones. */
        private const val FULL_PENALTY = 3.0
    }
}
