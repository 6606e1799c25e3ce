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

/** The target chosen for one attempt; [connection] is null when no probe came back. */
public class ChosenTarget<Connection>(
    public val candidate: TargetCandidate,
    public val connection: Connection?,
    public val expectedFactor: Double,
    public val excess: Int,
    public val probes: Int,
)

/**
 * Chooses a target by its load as asked just before the send.
 *
 * Answers targets whose machines turn several times slower for about as long as one request takes: any older figure says
 * little, while asking a few at once costs one round trip within the data centre. Targets of other data centres are asked
 * when none nearby is good.
 */
public class TargetSampler<Connection>(
    private val clock: Clock,
    private val random: Random,
    private val scope: CoroutineScope,
    private val budget: ProbeBudget,
    private val probe: suspend (RegisteredTarget, PlannedService) -> ProbeResult<Connection>?,
    public val release: (Connection) -> Unit,
) {
    private class Answer<Connection>(
        val candidate: TargetCandidate,
        val probe: ProbeResult<Connection>,
    )

    /** The requests that wait for probes now. */
    private var choosing = 0

    /** Chooses among [candidates], which must not be empty. */
    public suspend fun choose(
        candidates: List<TargetCandidate>,
        service: PlannedService,
        bodyBytes: Int,
        goodEnough: Double = GOOD_ENOUGH,
    ): ChosenTarget<Connection> {
        val ranked = inOrder(reachable(candidates))
        val answers = mutableListOf<Answer<Connection>>()
        var asked = 0
        choosing++
        try {
            for (round in rounds(service.name, candidates.size)) {
                val group = ranked.drop(asked).take(round).let { it.take(budget.take(service.name, candidates.size, it.size)) }
                if (group.isEmpty()) break
                asked += group.size
                answers += ask(group, service)
                val best = answers.minOfOrNull { factor(it, bodyBytes) }
                if (best != null && best < goodEnough) break
            }
        } catch (exception: CancellationException) {
            answers.forEach { release(it.probe.connection) }
            throw exception
        } finally {
            choosing--
        }
        val best = answers.minByOrNull { factor(it, bodyBytes) }
        answers.filter { it !== best }.forEach { release(it.probe.connection) }
        if (best == null) return unprobed(candidates, asked)
        return ChosenTarget(best.candidate, best.probe.connection, factor(best, bodyBytes), best.probe.sample.excess, asked)
    }

    /**
     * Fewer targets are asked as the budget runs low: two asked for each request beat many for some and none for others.
     *
     * The same holds for a crowd, as when a process that was down finds all its callers waiting: while each exchange still costs
     * milliseconds of processor time, four asked for each would hold up everybody's send.
     */
    private fun rounds(
        service: String,
        targets: Int,
    ): List<Int> {
        val left = budget.left(service, targets)
        return when {
            choosing > CROWD -> SCARCE_ROUND
            left > AMPLE_BUDGET -> ROUND_SIZES
            left > SCARCE_BUDGET -> ROUND_SIZES.take(1)
            else -> SCARCE_ROUND
        }
    }

    /** Nearby warm targets first, then the cold ones that this entry VM alone may use, then distant ones. */
    private fun inOrder(candidates: List<TargetCandidate>): List<TargetCandidate> {
        val (cold, warm) = candidates.shuffled(random).partition { it.isCold }
        val (nearby, distant) = warm.partition { it.isLocal }
        val firstRound = ranked(nearby)
        return firstRound.take(ROUND_SIZES.first()) + cold + firstRound.drop(ROUND_SIZES.first()) + ranked(distant)
    }

    /** Chooses by what is remembered, when nothing may be asked or nobody answers. */
    private fun unprobed(
        candidates: List<TargetCandidate>,
        asked: Int,
    ): ChosenTarget<Connection> {
        val chosen = reachable(candidates).shuffled(random).minBy { rememberedFactor(it) }
        return ChosenTarget(chosen, null, rememberedFactor(chosen), remembered(chosen)?.excess ?: 0, asked)
    }

    /** Without those at whose addresses nobody answered a moment ago, unless there are no others. */
    private fun reachable(candidates: List<TargetCandidate>): List<TargetCandidate> =
        candidates.filter { !it.health.isUnreachable }.ifEmpty { candidates }

    private fun remembered(candidate: TargetCandidate): LoadSample? =
        candidate.health.sample?.takeIf { clock() - candidate.health.sampledAt < MEMORY }

    private fun rememberedFactor(candidate: TargetCandidate): Double {
        val width = candidate.target.slots.coerceAtLeast(1)
        val own = 1.0 + candidate.health.inFlight.toDouble() / width
        return candidate.health.penalty() * (remembered(candidate)?.expectedFactor() ?: UNKNOWN_FACTOR) * own
    }

    /** Sound targets first, in random order. */
    private fun ranked(candidates: List<TargetCandidate>): List<TargetCandidate> =
        candidates.sortedBy { it.health.penalty() + if (it.health.isFull) FULL_RANK else 0.0 }

    private fun factor(
        answer: Answer<Connection>,
        bodyBytes: Int,
    ): Double {
        val sample = answer.probe.sample
        val candidate = answer.candidate
        val illness = if (sample.healthy || candidate.health.provenGood()) 1.0 else UNHEALTHY_FACTOR
        val distance = if (candidate.isLocal) 0.0 else DISTANCE + bodyBytes * DISTANCE_FOR_BYTE
        val coldness = if (candidate.isCold || sample.coldFor > Duration.ZERO) COLD_FACTOR else 1.0
        return sample.expectedFactor() * candidate.health.penalty() * illness * coldness + distance
    }

    /** Asks all of [group] at once; answers that come late are kept as knowledge only. */
    private suspend fun ask(
        group: List<TargetCandidate>,
        service: PlannedService,
    ): List<Answer<Connection>> {
        val answers = mutableListOf<Answer<Connection>>()
        val started = clock()
        var open = group.size
        var closed = false
        val firstEnough = CompletableDeferred<Unit>()
        group.forEach { candidate ->
            scope.launch {
                val probe = probe(candidate.target, service)
                open--
                if (probe != null) candidate.health.sampled(probe.sample) else candidate.health.unreachable()
                when {
                    probe == null -> Unit
                    closed -> release(probe.connection)
                    else -> answers += Answer(candidate, probe)
                }
                if (open == 0 || (answers.isNotEmpty() && clock() - started > PATIENCE)) firstEnough.complete(Unit)
            }
        }
        try {
            if (withTimeoutOrNull(PATIENCE) { firstEnough.await() } == null && answers.isEmpty()) {
                withTimeoutOrNull(LONG_PATIENCE) { firstEnough.await() }
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

        /** Above this part of the saved probes, further rounds are asked. */
        private const val AMPLE_BUDGET = 0.5

        /** Below this part of the saved probes, two targets are asked for a request. */
        private const val SCARCE_BUDGET = 0.25

        /** More requests than this that choose at once are a crowd; a busy second brings ten, spread out. */
        private const val CROWD = 4

        /** How many targets are asked in each round; four found a fast one for 99 requests in 100 on calm days. */
        private val ROUND_SIZES = listOf(4, 4, 8)

        /** Below this expected factor no further target is asked: a free slot on a machine that is not slowed. */
        public const val GOOD_ENOUGH: Double = 1.7

        /** A machine's slowdown lasts for about this long. */
        private val MEMORY = 150.milliseconds

        /** The wait for the answers of one round: several round trips between data centres. */
        private val PATIENCE = 15.milliseconds

        /** The further wait when no answer has come yet. */
        private val LONG_PATIENCE = 60.milliseconds

        /** A target that says that it is unwell goes behind sound ones that are a few times slower. */
        private const val UNHEALTHY_FACTOR = 6.0

        /** A cold target takes about twice as long. */
        private const val COLD_FACTOR = 2.0

        /** A request to another data centre pays a few hundredths of its service time. */
        private const val DISTANCE = 0.05

        /** Traffic between data centres is dear: a photograph of 60 kB weighs half a service time. */
        private const val DISTANCE_FOR_BYTE = 0.000008

        /** The expected factor of a target that nothing is remembered of: the mean over slowed and usual machines. */
        private const val UNKNOWN_FACTOR = 2.0

        /** Targets that shed a request a moment ago are asked last. */
        private const val FULL_RANK = 3.0
    }
}
