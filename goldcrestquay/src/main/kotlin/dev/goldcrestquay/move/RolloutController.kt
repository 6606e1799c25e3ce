package dev.goldcrestquay.move

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.StoreLink
import dev.goldcrestquay.link.StoreResult
import dev.goldcrestquay.machine.FleetEvent
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.machine.VerdictRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Rolls out the ordered version of each service on the platform, or rolls it back; runs on the leader.
 *
 * A verdict is written to the store only if no other verdict was written since the last read, so when two leaders decide at the same
 * time, the first write wins and the other leader adopts it. The moves of the project's own interface are controlled by [MoveController].
 *
 * @param verdictsEndOffset the offset up to which the verdicts in the store were read.
 * @param refreshVerdicts reads the verdicts added since then; returns whether that succeeded.
 */
public class RolloutController(
    private val state: SharedState,
    private val store: StoreLink,
    private val verdictsEndOffset: () -> Long,
    private val refreshVerdicts: suspend () -> Boolean,
    private val clock: Clock,
    private val report: (FleetEvent) -> Unit,
) {
    /**
     * How far a rollout has come.
     *
     * @property countsBefore the counts by process when the new version's share last rose.
     * @property traffic the counts of the service's requests by which its rate is measured, while it is not known.
     */
    private class Progress(
        val order: RolloutOrder,
        var phase: RolloutPhase,
        var share: Double,
        var since: Duration,
        var countsBefore: ProcessCounts = emptyMap(),
        var traffic: TrafficSample? = null,
    ) {
        /** The last known counts of each process, of those too that have ended or are cut off now and may come back. */
        var latest: ProcessCounts = emptyMap()
            private set

        private val samples = ArrayDeque<Pair<Duration, ProcessCounts>>()

        fun update(counts: ProcessCounts) {
            latest = latest + counts
        }

        /** Adds the [latest] counts to the samples; returns those of [RECENT_TIME] ago, or from when the share last rose if that is later. */
        fun sample(now: Duration): ProcessCounts {
            samples.addLast(now to latest)
            while (samples.size > 1 && samples[1].first <= now - RECENT_TIME) samples.removeFirst()
            val (at, earlier) = samples.first()
            return if (at > now - RECENT_TIME) countsBefore else earlier
        }

        fun clearSamples() = samples.clear()
    }

    private class TrafficSample(
        val counts: ProcessCounts,
        val at: Duration,
    )

    private val progress = HashMap<String, Progress>()

    /** Takes the next step of every rollout, given the [counts] of all entry VMs by process. */
    public suspend fun step(
        counts: Map<String, List<VersionCount>>,
        memberCount: Int,
    ) {
        progress.keys.retainAll(state.orders().keys)
        for ((service, rollout) in state.rollouts()) {
            if (state.verdict(service, rollout.order.targetVersion)?.isFinal == true) continue
            advance(service, rollout, counts.mapValues { (_, list) -> list.filter { it.service == service } }, memberCount)
        }
        shareProgress()
    }

    /** Writes again the verdicts that the store has lost, since the operator and entry VMs that start go by what it has. */
    public suspend fun rewriteLostVerdicts() {
        for (lost in state.lostVerdicts()) {
            if (!refreshVerdicts()) return
            val verdict = lost.verdict
            if (lost in state.lostVerdicts() && verdict != null) write(lost.service, verdict)
        }
    }

    private fun shareProgress() {
        state.setRollouts(
            state.rollouts().map { (service, rollout) ->
                val current = progress[service]?.takeIf { it.order == rollout.order }
                if (current == null) rollout else rollout.copy(phase = current.phase, share = current.share)
            },
        )
    }

    private suspend fun advance(
        service: String,
        rollout: RolloutState,
        counts: ProcessCounts,
        memberCount: Int,
    ) {
        val now = clock()
        val current =
            progress[service]?.takeIf { it.order == rollout.order }
                ?: Progress(rollout.order, rollout.phase, rollout.share, now).also { progress[service] = it }
        val isAnnounced = state.verdict(service, rollout.order.targetVersion) != null
        if (!isAnnounced) writeOutcome(service, rollout, RolloutOutcome.RUNNING)
        if (current.phase == RolloutPhase.ROLLED_BACK) {
            writeOutcome(service, rollout, RolloutOutcome.ROLLED_BACK)
            return
        }
        current.update(counts)
        adaptTrialShare(current)
        val countsRecently = if (current.phase == RolloutPhase.SHIFTED) current.sample(now) else current.countsBefore
        val view =
            RolloutView(
                order = rollout.order,
                phase = current.phase,
                share = current.share,
                timeSinceOrder = state.orderAge(service),
                timeInPhase = now - current.since,
                hasTargets = state.targets().any { it.target.service == service && it.target.version == rollout.order.targetVersion },
                counts = sumByRoute(counts.values.flatten()),
                countsSinceStep = gained(current.latest, current.countsBefore),
                countsRecently = gained(current.latest, countsRecently),
                memberCount = memberCount,
            )
        val step = judgeRollout(view) ?: return
        // Stops the new version's requests before the write; the next step retries a write that fails.
        if (step.phase == RolloutPhase.ROLLED_BACK) enter(current, step)
        if (!confirmStep(service, rollout, step.phase)) return
        enter(current, step)
        report(FleetEvent.RolloutStep(service, rollout.order.targetVersion, step.phase.name, step.reason))
    }

    private fun enter(
        current: Progress,
        step: RolloutDecision,
    ) {
        if (current.phase == step.phase && current.share == step.share) return
        current.phase = step.phase
        current.share = step.share
        current.since = clock()
        current.countsBefore = current.latest
        current.clearSamples()
        shareProgress()
    }

    /** Writes a final phase to the store; before another one, makes sure that no other leader has ended the rollout. */
    private suspend fun confirmStep(
        service: String,
        rollout: RolloutState,
        phase: RolloutPhase,
    ): Boolean =
        when (phase) {
            RolloutPhase.COMPLETED -> writeOutcome(service, rollout, RolloutOutcome.COMPLETED)
            RolloutPhase.ROLLED_BACK -> writeOutcome(service, rollout, RolloutOutcome.ROLLED_BACK)
            else -> refreshVerdicts() && state.verdict(service, rollout.order.targetVersion)?.isFinal != true
        }

    /** Fits the trial's share to the rate of the service's requests once that has been measured. */
    private fun adaptTrialShare(current: Progress) {
        if (current.phase != RolloutPhase.TRIAL || current.share != RolloutPhase.TRIAL.share) return
        val now = clock()
        val timeInTrial = now - current.since
        val earlier = current.traffic
        when {
            earlier == null -> if (timeInTrial > TRAFFIC_SAMPLE_DELAY) current.traffic = TrafficSample(current.latest, now)
            now - earlier.at > TRAFFIC_SAMPLE_TIME -> {
                val requests = gained(current.latest, earlier.counts).sumOf { it.observed }
                val perSecond = requests / (now - earlier.at).toDouble(DurationUnit.SECONDS)
                // Counts that do not rise lack those of processes that have just ended.
                if (perSecond > 0) current.share = trialShare(perSecond) else current.traffic = TrafficSample(current.latest, now)
            }
        }
    }

    private suspend fun writeOutcome(
        service: String,
        rollout: RolloutState,
        outcome: RolloutOutcome,
    ): Boolean {
        if (!refreshVerdicts()) return false
        val written = state.verdict(service, rollout.order.targetVersion)?.outcome
        if (written == outcome) return true
        if (state.verdict(service, rollout.order.targetVersion)?.isFinal == true) return false
        return write(service, RolloutVerdict(rollout.order.targetVersion, outcome))
    }

    /** Writes [verdict] to the store unless another one was written since the last read. */
    private suspend fun write(
        service: String,
        verdict: RolloutVerdict,
    ): Boolean {
        val result = store.writeVerdict(service, verdict, verdictsEndOffset())
        if (result is StoreResult.Done) {
            state.apply(VerdictRecord("rollout/$service", result.value, service, verdict, state.epoch))
            return true
        }
        report(FleetEvent.RolloutStep(service, verdict.targetVersion, verdict.outcome.name, "verdict not written: $result"))
        return false
    }

    private companion object {
        /** The time over which slow answers are counted anew while the new version gets all traffic. */
        val RECENT_TIME = 500.milliseconds

        /** By this time after the order, all entry VMs have reported the requests that they counted before. */
        val TRAFFIC_SAMPLE_DELAY = 700.milliseconds

        /** The time over which the rate of a service's requests is measured. */
        val TRAFFIC_SAMPLE_TIME = 800.milliseconds
    }
}
