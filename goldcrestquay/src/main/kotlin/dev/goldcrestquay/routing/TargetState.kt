package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.Target
import dev.goldcrestquay.link.LoadReport
import dev.goldcrestquay.machine.Warmth
import dev.goldcrestquay.machine.afterFailure
import dev.goldcrestquay.machine.afterSuccess
import dev.goldcrestquay.machine.cold

/**
 * What one entry VM knows about one target; guarded by the lock of its [ServiceTable].
 *
 * @property roundTripMilliseconds the network round trip to the target's data centre.
 */
public class TargetState internal constructor(
    target: Target,
    internal val roundTripMilliseconds: Double,
    connectionCap: Int,
    private val settings: RoutingSettings,
) {
    private val serviceTime =
        ServiceTimeEstimate(settings.serviceTimeMemory.inWholeMilliseconds.toDouble(), settings.priorCalls)
    private val load = LoadEstimate(settings.reportDecay.inWholeMilliseconds.toDouble())
    internal val limit = ConcurrencyLimit(connectionCap)
    internal val ejection = Ejection(settings)
    private var drainingUntil = Double.NEGATIVE_INFINITY

    /** The target as described by the environment in force. */
    public var target: Target = target
        internal set

    /** The number of this entry VM's calls in flight at the target. */
    public var inFlight: Int = 0
        private set

    /** The warm-up state of the target; null while it is not known. */
    public var warmth: Warmth? = null
        private set

    private var warmedAt = Double.NEGATIVE_INFINITY

    internal val isConnectionLimited: Boolean get() = inFlight >= limit.current

    internal val trust: Double get() = load.trust

    internal val reportedOthers: Double get() = load.lastReported

    internal fun isDraining(now: Double): Boolean = now < drainingUntil

    internal fun reportAge(now: Double): Double = load.age(now)

    internal fun others(
        now: Double,
        mean: Double,
    ): Double = load.others(now, mean)

    /** The expected service time in milliseconds: the service's mean unless the target is much slower than that. */
    internal fun serviceTime(
        now: Double,
        serviceMean: Double,
    ): Double {
        val mean = serviceTime.mean(now, serviceMean)
        return if (mean > serviceMean * settings.slowFactor) mean else serviceMean
    }

    /** The expected wait for a free slot in milliseconds, with [others] calls of other entry VMs at the target. */
    internal fun expectedWait(
        others: Double,
        serviceTime: Double,
    ): Double {
        val queued = inFlight + others - target.slots + 1
        return if (queued > 0) queued * serviceTime / target.slots else 0.0
    }

    internal fun recordSend(
        now: Double,
        waitFactor: Double,
    ) {
        inFlight++
        ejection.recordSend()
        serviceTime.opened(now, waitFactor)
    }

    /**
     * Records the end of the call that [ticket] was issued for.
     *
     * [serviceEnd] is when the call ended, less the network round trip; [informative] is false if the end says nothing about the
     * service time.
     */
    internal fun recordEnd(
        serviceEnd: Double,
        ticket: Choice.Reserved,
        informative: Boolean,
    ) {
        inFlight--
        serviceTime.closed(serviceEnd, ticket.sentAt, ticket.waitFactor, informative)
    }

    internal fun recordDraining(now: Double) {
        drainingUntil = now + settings.drainHold.inWholeMilliseconds
    }

    internal fun recordSuccess(now: Double) {
        ejection.recordSuccess()
        limit.recordSuccess()
        val cold = warmth as? Warmth.Cold ?: return
        updateWarmth(cold.afterSuccess(target), now)
    }

    /** Sets the warm-up state; a change from cold to warm is sent to peers for a while. */
    internal fun updateWarmth(
        newWarmth: Warmth,
        now: Double,
    ) {
        if (warmth is Warmth.Cold && newWarmth is Warmth.Warm) warmedAt = now
        warmth = newWarmth
    }

    /** The warm-up state to send to peers: that of a cold target whose start is known, or of one that became warm lately; else null. */
    internal fun warmthUpdate(now: Double): Warmth? =
        when (val known = warmth) {
            is Warmth.Cold -> known.takeIf { it.startEpoch != UNKNOWN_EPOCH }
            is Warmth.Warm -> known.takeIf { now - warmedAt < WARM_UPDATE_MILLISECONDS }
            null -> null
        }

    internal fun recordFailure(now: Double) {
        ejection.recordFailure(now)
        (warmth as? Warmth.Cold)?.let { updateWarmth(it.afterFailure(target), now) }
    }

    internal fun recordReport(
        now: Double,
        report: LoadReport,
    ) {
        load.recordReport(now, report.inFlight, inFlight)
        val epoch = report.startEpoch ?: return
        if (warmth?.startEpoch == epoch) return
        val isLongUp = (report.uptimeMilliseconds ?: 0) >= WARM_AFTER_MILLISECONDS
        val isFirstReport = (warmth?.startEpoch ?: UNKNOWN_EPOCH) == UNKNOWN_EPOCH
        updateWarmth(if (isFirstReport && isLongUp) Warmth.Warm(epoch) else target.cold(epoch), now)
    }

    private companion object {
        /** A target whose first report states at least this uptime counts as warm. */
        const val WARM_AFTER_MILLISECONDS = 30_000L

        /** How long a change from cold to warm is sent to peers. */
        const val WARM_UPDATE_MILLISECONDS = 10_000.0
    }
}

/** The start epoch of a target that has not reported one. */
internal const val UNKNOWN_EPOCH: Long = 0
