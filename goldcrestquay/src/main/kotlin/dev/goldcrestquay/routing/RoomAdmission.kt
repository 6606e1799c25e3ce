package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.PlannedRoute
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.overload.RequestRank
import dev.goldcrestquay.overload.RoomDecision
import dev.goldcrestquay.overload.RoomRequest
import dev.goldcrestquay.overload.RoomUse
import dev.goldcrestquay.overload.ScarceRoom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Describes a request on [route] that asks for room at a target of [service].
 *
 * @param work the time that a target with nothing else to do takes.
 * @param loadFactor the expected time, in multiples of [work], by the target's load alone.
 * @param callerAge the time since the caller's first attempt.
 * @param callerTimeLeft the time until the caller's deadline, or null if it states none.
 */
internal fun roomRequest(
    route: PlannedRoute,
    service: String,
    view: AdmissionView,
    work: Duration,
    loadFactor: Double,
    callerAge: Duration,
    callerTimeLeft: Duration?,
    isFirstAttempt: Boolean,
): RoomRequest =
    RoomRequest(
        service = service,
        route = route.name,
        rank = RequestRank(view.priority, isSpill = service != route.destinations.maxByOrNull { it.weight }?.service),
        isFirstAttempt = isFirstAttempt,
        isReturned = callerAge >= RETURNED_CALLER_AGE,
        expected = work * loadFactor,
        work = work,
        excess = view.excess,
        objectiveLeft = view.objectiveLeft,
        timeLeft = view.timeLeft,
        callerTimeLeft = callerTimeLeft ?: view.timeLeft,
    )

/** Decides about [request] as [admit] does where services don't share scarce room. */
internal fun ScarceRoom.admit(request: RoomRequest): Admission =
    when (val decision = decide(request)) {
        RoomDecision.Admitted -> Admission.Admitted
        is RoomDecision.Refused -> Admission.Refused(decision.retryAfter, decision)
    }

/** What the [result] of an attempt tells about room. */
internal fun roomUse(result: SendResult<*>): RoomUse =
    when (result) {
        is SendResult.Replied -> if (result.failed) RoomUse.INCONCLUSIVE else RoomUse.ANSWERED
        is SendResult.Refused -> if (result.refusal == Refusal.SHEDDING) RoomUse.REJECTED else RoomUse.INCONCLUSIVE
        is SendResult.Broken -> if (result.code == ResultCode.DEADLINE_EXCEEDED) RoomUse.CUT else RoomUse.INCONCLUSIVE
    }

/** A caller that has been trying for this long has come back; deadlines that callers state vary by less. */
private val RETURNED_CALLER_AGE = 50.milliseconds
