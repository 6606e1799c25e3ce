package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.Service
import dev.goldcrestquay.contract.Target
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.LoadReport
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.machine.Warmth
import dev.goldcrestquay.machine.cold
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The decisions of the fleet that constrain the selection of a service's targets at one entry VM.
 *
 * @property leaseHeldUntil the time on this entry VM's clock until which it holds the service's lease and so may use cold targets.
 * @property share the split between versions during a move; null if no move is under way.
 * @property dataCentresOut the data centres that get no new calls.
 * @property connectionShare the share of each target's connections that this entry VM may open, from 0 to 1.
 */
public data class ServiceConstraints(
    val leaseHeldUntil: Duration = Duration.INFINITE,
    val share: VersionShare? = null,
    val dataCentresOut: Set<String> = emptySet(),
    val connectionShare: Double = 1.0,
)

/** The result of target selection. */
public sealed interface Choice {
    /**
     * A place at a target, reserved until [ServiceTable.complete] is called with this object.
     *
     * @property sentAt the time of the reservation, in milliseconds.
     * @property waitFactor the expected time of the call including its wait for a slot, in service times.
     * @property expectedWait the expected wait for a slot, in milliseconds.
     */
    public class Reserved internal constructor(
        public val state: TargetState,
        public val target: Target,
        internal val sentAt: Double,
        internal val waitFactor: Double,
        public val expectedWait: Double,
    ) : Choice

    /** No target may take the call now. */
    public data class Refused(
        val code: ResultCode,
    ) : Choice
}

/** How a reserved attempt ended. */
public sealed interface AttemptEnd {
    /** The target answered. */
    public data class Answered(
        val failed: Boolean,
        val report: LoadReport? = null,
    ) : AttemptEnd

    /** The target refused without running the call. */
    public data class Refused(
        val refusal: Refusal,
        val report: LoadReport? = null,
    ) : AttemptEnd

    /** No answer came. */
    public data object Broken : AttemptEnd

    /** The attempt was cancelled because the caller left or another attempt answered first. */
    public data object Cancelled : AttemptEnd
}

/** The state of one target for status pages. */
public data class TargetView(
    val target: Target,
    val inFlight: Int,
    val warmth: Warmth?,
    val ejected: Boolean,
    val draining: Boolean,
    val serviceTimeMilliseconds: Double,
)

/**
 * The targets of one service in the environment, at one entry VM, and the selection among them; for the platform see [TargetTable].
 *
 * One lock guards the table. A target is chosen and its place reserved under the same lock, so that concurrent calls do not take
 * the same free slot.
 */
public class ServiceTable(
    service: Service,
    private val settings: RoutingSettings,
    private val clock: Clock,
    private val random: Random,
    private val policy: TargetPolicy = TargetPolicies.earliestAnswer(settings),
    private val networkRoundTrip: (Target) -> Duration = { Duration.ZERO },
) {
    private val lock = ReentrantLock()
    private var states = service.targets.map { newState(it) }
    private val quota = VersionQuota()
    private var constraints = ServiceConstraints()

    /** The mean service time over all targets, in milliseconds. */
    private var serviceMean = settings.initialServiceTime.toDouble(DurationUnit.MILLISECONDS)

    /** The mean number of calls of other entry VMs at a target, as far as load reports are trusted. */
    private var meanOtherCalls = 0.0

    /** The service as described by the environment in force. */
    @Volatile
    public var service: Service = service
        private set

    /** Applies a new description of the service; the state of targets that remain is kept. */
    public fun update(newService: Service): Unit =
        lock.withLock {
            val known = states.associateBy { it.target.name to it.target.address }
            service = newService
            states =
                newService.targets.map { target -> known[target.name to target.address]?.also { it.target = target } ?: addedState(target) }
            applyConnectionShare()
        }

    /** Applies the fleet's decisions; targets of a data centre that returns to service start cold. */
    public fun applyConstraints(newConstraints: ServiceConstraints): Unit =
        lock.withLock {
            val returning = constraints.dataCentresOut - newConstraints.dataCentresOut
            constraints = newConstraints
            quota.updateShare(newConstraints.share)
            states.filter { it.target.dataCentre in returning }.forEach {
                it.updateWarmth(
                    it.target.cold(it.warmth?.startEpoch ?: UNKNOWN_EPOCH),
                    now(),
                )
            }
            applyConnectionShare()
        }

    /** Reserves a place at a target that is not in [tried], for a call that has [remaining] time left. */
    public fun reserve(
        remaining: Duration,
        tried: Set<String> = emptySet(),
    ): Choice =
        lock.withLock {
            val now = now()
            if (remaining <= Duration.ZERO) return Choice.Refused(ResultCode.DEADLINE_PASSED)
            val usable = usable(now, remaining, tried)
            if (usable.isEmpty()) return Choice.Refused(refusalWithoutTarget(now))
            val candidates = usable.map { candidate(it, now) }
            val chosen = candidates[policy(candidates, random)]
            if (chosen.wait > waitLimit(remaining, chosen)) return Choice.Refused(ResultCode.OVERLOADED)
            reserve(chosen, now)
        }

    /** Releases the place of [ticket] and records how the attempt ended. */
    public fun complete(
        ticket: Choice.Reserved,
        end: AttemptEnd,
    ): Unit =
        lock.withLock {
            val now = now()
            val state = ticket.state
            val serviceEnd = now - state.roundTripMilliseconds
            val informative = end is AttemptEnd.Broken || (end is AttemptEnd.Answered && !end.failed)
            state.recordEnd(serviceEnd, ticket, informative)
            when (end) {
                is AttemptEnd.Answered -> recordAnswer(state, ticket, end, now)
                is AttemptEnd.Refused -> recordRefusal(state, end, now)
                AttemptEnd.Broken -> state.recordFailure(now)
                AttemptEnd.Cancelled -> state.ejection.recordInconclusive()
            }
        }

    /** Records the load report that a probe of [targetName] returned. */
    public fun recordProbe(
        targetName: String,
        report: LoadReport,
    ): Unit = lock.withLock { states.firstOrNull { it.target.name == targetName }?.let { applyReport(it, report, now()) } }

    /** Applies the warm-up state of [targetName] that a peer sent; ignores it when it is about an older start of the target. */
    public fun updateWarmth(
        targetName: String,
        warmth: Warmth,
    ): Unit =
        lock.withLock {
            val state = states.firstOrNull { it.target.name == targetName } ?: return
            val known = state.warmth
            val isSameStart = known?.startEpoch == warmth.startEpoch
            val isNewer = known == null || warmth.startEpoch > known.startEpoch || (isSameStart && warmth is Warmth.Warm)
            if (isNewer) state.updateWarmth(warmth, now())
        }

    /** The targets whose last load report is older than [age] and that should be probed. */
    public fun targetsWithoutReport(age: Duration): List<Target> =
        lock.withLock {
            val now = now()
            states.filter { it.reportAge(now) > age.toDouble(DurationUnit.MILLISECONDS) }.map { it.target }
        }

    /** Returns whether the service needs a lease holder: a target is cold or last sent a load report longer ago than [age]. */
    public fun needsLeaseHolder(age: Duration): Boolean =
        lock.withLock {
            val now = now()
            states.any { it.warmth is Warmth.Cold || it.reportAge(now) > age.toDouble(DurationUnit.MILLISECONDS) }
        }

    /** The warm-up states of targets that are cold or became warm recently, to be sent to peers. */
    public fun warmthUpdates(): List<Pair<String, Warmth>> =
        lock.withLock {
            val now = now()
            states.mapNotNull { state -> state.warmthUpdate(now)?.let { state.target.name to it } }
        }

    /** The state of all targets for status pages. */
    public fun view(): List<TargetView> =
        lock.withLock {
            val now = now()
            states.map {
                TargetView(
                    it.target,
                    it.inFlight,
                    it.warmth,
                    !it.ejection.allows(now),
                    it.isDraining(now),
                    it.serviceTime(now, serviceMean),
                )
            }
        }

    private fun newState(target: Target): TargetState =
        TargetState(target, networkRoundTrip(target).toDouble(DurationUnit.MILLISECONDS), target.connections, settings)

    /** A target added to a running service may have just started, so it is cold until it reports otherwise. */
    private fun addedState(target: Target): TargetState = newState(target).also { it.updateWarmth(target.cold(UNKNOWN_EPOCH), now()) }

    private fun applyConnectionShare() =
        states.forEach { it.limit.updateCeiling((it.target.connections * constraints.connectionShare).toInt().coerceAtLeast(1)) }

    private fun now(): Double = clock().toDouble(DurationUnit.MILLISECONDS)

    private fun usable(
        now: Double,
        remaining: Duration,
        tried: Set<String>,
    ): List<TargetState> {
        val open = states.filter { it.target.dataCentre !in constraints.dataCentresOut && !it.isDraining(now) && !it.isConnectionLimited }
        val mayUseCold = clock() + remaining <= constraints.leaseHeldUntil
        val allowed = open.filter { it.target.name !in tried && mayTakeCall(it, mayUseCold) }
        val ofVersion = allowed.ofSelectedVersion()
        val healthy = ofVersion.filter { it.ejection.allows(now) }
        val total = ofVersion.size
        val enough = healthy.isNotEmpty() && healthy.size >= total * settings.minimumHealthyShare
        return if (enough) healthy else ofVersion
    }

    private fun List<TargetState>.ofSelectedVersion(): List<TargetState> {
        val version = quota.selectVersion() ?: return this
        val selected = filter { it.target.version == version }
        return selected.ifEmpty { filter { quota.allows(it.target.version) } }
    }

    /** Returns whether the target may take another call; a cold one only from the lease holder and within its allowance. */
    private fun mayTakeCall(
        state: TargetState,
        mayUseCold: Boolean,
    ): Boolean {
        val cold = state.warmth as? Warmth.Cold ?: return true
        return mayUseCold && state.inFlight < cold.allowance
    }

    private fun refusalWithoutTarget(now: Double): ResultCode {
        val busy = states.any { it.isConnectionLimited && it.target.dataCentre !in constraints.dataCentresOut && !it.isDraining(now) }
        return if (busy) ResultCode.OVERLOADED else ResultCode.NO_TARGET
    }

    private fun candidate(
        state: TargetState,
        now: Double,
    ): Candidate {
        val others = state.others(now, meanOtherCalls.coerceAtLeast(0.0))
        val serviceTime = state.serviceTime(now, serviceMean)
        val utilisation = (state.inFlight + others) / state.target.slots
        return Candidate(state, state.expectedWait(others, serviceTime), serviceTime, state.roundTripMilliseconds, utilisation)
    }

    /** The longest acceptable wait for a slot, in milliseconds. */
    private fun waitLimit(
        remaining: Duration,
        chosen: Candidate,
    ): Double {
        val left = remaining.toDouble(DurationUnit.MILLISECONDS) - chosen.network - chosen.serviceTime
        val bound = maxOf(settings.maximumWait.toDouble(DurationUnit.MILLISECONDS), serviceMean * settings.maximumWaitServiceTimes)
        return left.coerceAtMost(bound)
    }

    private fun reserve(
        chosen: Candidate,
        now: Double,
    ): Choice.Reserved {
        val waitFactor = 1 + chosen.wait / chosen.serviceTime
        chosen.state.recordSend(now, waitFactor)
        quota.recordSend(chosen.state.target.version)
        return Choice.Reserved(chosen.state, chosen.state.target, now, waitFactor, chosen.wait)
    }

    private fun recordAnswer(
        state: TargetState,
        ticket: Choice.Reserved,
        end: AttemptEnd.Answered,
        now: Double,
    ) {
        end.report?.let { applyReport(state, it, now) }
        if (end.failed) return state.recordFailure(now)
        state.recordSuccess(now)
        val sample = (now - state.roundTripMilliseconds - ticket.sentAt).coerceAtLeast(0.0) / ticket.waitFactor
        val bounded = sample.coerceAtMost(serviceMean * MAXIMUM_SAMPLE_FACTOR)
        serviceMean += (bounded - serviceMean) * MEAN_SMOOTHING
    }

    private fun recordRefusal(
        state: TargetState,
        end: AttemptEnd.Refused,
        now: Double,
    ) {
        end.report?.let { applyReport(state, it, now) }
        when (end.refusal) {
            Refusal.DRAINING -> state.recordDraining(now)
            Refusal.SHEDDING -> state.limit.recordShed(state.inFlight + 1)
            Refusal.CONNECTION_REFUSED -> state.recordFailure(now)
            Refusal.EXHAUSTED, Refusal.WITHDRAWN -> Unit
        }
        if (end.refusal != Refusal.CONNECTION_REFUSED) state.ejection.recordInconclusive()
    }

    private fun applyReport(
        state: TargetState,
        report: LoadReport,
        now: Double,
    ) {
        state.recordReport(now, report)
        meanOtherCalls += (state.reportedOthers - meanOtherCalls) * MEAN_SMOOTHING * state.trust
    }

    private companion object {
        /** The weight of the newest value in the service's moving averages. */
        const val MEAN_SMOOTHING = 0.01

        /** Samples of the service time are capped at this multiple of the mean. */
        const val MAXIMUM_SAMPLE_FACTOR = 20.0
    }
}
