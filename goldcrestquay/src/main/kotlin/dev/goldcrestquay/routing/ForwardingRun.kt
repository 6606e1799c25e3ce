package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.PlannedRoute
import dev.goldcrestquay.contract.PlannedService
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.Refusal
import dev.goldcrestquay.link.SendResult
import dev.goldcrestquay.machine.FleetMember
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.organisation.CallerOrganisation
import dev.goldcrestquay.overload.RoomRequest
import dev.goldcrestquay.spread.allowsSecondSend
import dev.goldcrestquay.spread.isWorthSecondSend
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Forwards one [request] whose route and service are known.
 *
 * A request that is not idempotent is retried only after a refusal that proves that the target did not run it.
 */
internal class ForwardingRun<Connection, Reply>(
    private val parts: ForwardingParts<Connection>,
    private val request: ForwardRequest<Connection, Reply>,
    private val route: PlannedRoute,
    private val service: PlannedService,
    private var callerOrganisation: CallerOrganisation,
) {
    private val tables = parts.tables
    private val sampler = parts.sampler
    private val clock = parts.clock
    private val report = parts.report
    private val statistics = parts.statistics
    private val recorder = parts.recorder
    private val organisationGate = parts.organisationGate
    private val secondSends = parts.secondSends

    private val timeLimit = timeLimit(route, request.deadline)
    private val tried = HashSet<String>()

    private val maximumAttempts = (request.origin?.attempts ?: route.maximumAttempts).coerceAtLeast(1)

    /** The attempts that the retry budget was asked for; the first one is free. */
    private var paidAttempts = 1

    private var hasAskedForRoom = false

    private val callerAge = parts.callerAges.estimate(route.name, request.deadline)

    private val maySendTwice = tables.maySendTwice && allowsSecondSend(route, request.deadline?.plus(callerAge))

    /** Whether one of two attempts under way has a good answer, so that the other is cancelled. */
    private var isRaceDecided = false

    private val remaining: Duration get() = timeLimit - (clock() - request.arrivedAt)

    private val objectiveLeft: Duration get() = (route.latencyObjective ?: timeLimit) - callerAge - (clock() - request.arrivedAt)

    /** The bytes that the request and its response are expected to move between this entry VM and the target. */
    private val transferBytes = request.bodyBytes + statistics.responseBytes(route.name)

    /** The expected factor below which no further target is probed; higher for large bodies, to keep them in their data centre. */
    private fun acceptableFactor(): Double {
        if (transferBytes < LARGE_BODY_BYTES) return TargetSampler.ACCEPTABLE_FACTOR
        return maxOf(TargetSampler.ACCEPTABLE_FACTOR, objectiveLeft / statistics.serviceTime(route.name) * LOCAL_OBJECTIVE_SHARE)
    }

    suspend fun run(): ForwardOutcome<Reply> {
        var last: ForwardOutcome<Reply> = parts.notRun(ResultCode.NO_TARGET)
        var attempt = 1
        var unreachable = 0
        while (attempt <= maximumAttempts) {
            if (!request.isCallerWaiting) return ForwardOutcome.Unknown(ResultCode.CALL_CANCELLED)
            if (remaining < MINIMUM_TIME_LEFT) return if (attempt == 1) parts.notRun(ResultCode.DEADLINE_PASSED) else last
            if (!tables.plannedStop.allows(remaining)) return combineOutcomes(last, LEAVING)
            refuseCaller()?.let { return combineOutcomes(last, it) }
            blockedFor()?.let { return combineOutcomes(last, ForwardOutcome.NotRun(ResultCode.BLOCKED, it)) }
            if (tables.reach.isCutOff) {
                val relayed = if (request.origin == null) relay(maximumAttempts - attempt + 1) else parts.notRun(ResultCode.NO_TARGET)
                if (relayed != null) return combineOutcomes(last, relayed)
            }
            val candidates = tables.targets.candidates(service.name, tried)
            if (candidates.isEmpty()) return combineOutcomes(last, silenceRefusal() ?: last)
            if (attempt > paidAttempts && !tables.budget.tryTake(service.name)) return last
            paidAttempts = attempt
            val chosen = sampler.choose(candidates, service, transferBytes, acceptableFactor(), tables.state.age() > OLD_RECORDS_AGE)
            if (isSurpassed(chosen.candidate, candidates)) {
                chosen.connection?.let { sampler.release(it) }
                tried += chosen.candidate.target.id
                continue
            }
            val expected = statistics.serviceTime(route.name) * chosen.expectedFactor
            val view = AdmissionView(expected, chosen.excess, objectiveLeft, remaining, priority)
            val roomRequest = tables.room?.let { askForRoom(view, chosen) }
            val admission =
                if (roomRequest ==
                    null
                ) {
                    parts.shareRoom(service.name, callerOrganisation, view, admit(view))
                } else {
                    tables.room.admit(roomRequest)
                }
            if (admission is Admission.Refused) return combineOutcomes(last, refuse(chosen, view, admission))
            val sendOutcome = attempt(attempt, chosen, expected, roomRequest)
            last = combineOutcomes(last, sendOutcome.outcome)
            if (!sendOutcome.mayRetry) return last
            unreachable += sendOutcome.unreachable
            attempt += sendOutcome.targetsReached
        }
        val neverSent = unreachable == attempt - 1 && request.origin == null && tables.reach.isDoubtful
        return (if (neverSent) relay(maximumAttempts) else null) ?: last
    }

    private val priority: Int get() = (callerOrganisation as? CallerOrganisation.Identified)?.priority ?: route.priority

    /** Identifies the caller by the plan that is in force now; returns false when the request may not run. */
    private fun identifyCaller(): Boolean {
        callerOrganisation = organisationGate.identify(request.credentials, request.host, request.path, route)
        return organisationGate.refusal(callerOrganisation) == null
    }

    private fun refuseCaller(): ForwardOutcome.NotRun? =
        if (identifyCaller()) null else organisationGate.refusal(callerOrganisation)?.let { parts.notRun(it) }

    /** Whether [chosen] has said meanwhile that it takes no requests, or none while another of the [candidates] does. */
    private fun isSurpassed(
        chosen: TargetCandidate,
        candidates: List<TargetCandidate>,
    ): Boolean =
        when (chosen.allowance) {
            TargetAllowance.OPEN -> false
            TargetAllowance.LAST_RESORT -> candidates.any { it.allowance == TargetAllowance.OPEN }
            TargetAllowance.CLOSED -> true
        }

    /**
     * The refusal when all targets want no requests for a time, or null when they do not.
     *
     * Callers are told to return after the first target takes requests again, spread so that it does not get all of them at once.
     */
    private fun silenceRefusal(): ForwardOutcome.NotRun? {
        val left = tables.targets.silenceLeft(service.name) ?: return null
        val spread = left.coerceIn(MINIMUM_RETRY_DELAY, MAXIMUM_SILENCE_SPREAD) * parts.random.nextDouble()
        return ForwardOutcome.NotRun(ResultCode.NO_TARGET, left + spread)
    }

    /** Has a peer serve the request, with up to [attempts] targets; null when no peer reaches any. */
    private suspend fun relay(attempts: Int): ForwardOutcome<Reply>? {
        var last: ForwardOutcome<Reply>? = null
        val formatVersion = if (callerOrganisation == CallerOrganisation.Unused) 0 else FleetMember.RELAYED_CALLER_FORMAT_VERSION
        for (peer in tables.relayPeers.candidates(formatVersion).take(MAXIMUM_RELAYS)) {
            if (!request.isCallerWaiting || remaining < MINIMUM_TIME_LEFT) return last
            refuseCaller()?.let { return it }
            val outcome = relayTo(peer, attempts)
            last = outcome
            if (outcome !is ForwardOutcome.NotRun || outcome.code !in PEER_UNUSABLE) return outcome
        }
        return last
    }

    private suspend fun relayTo(
        peer: FleetMember,
        attempts: Int,
    ): ForwardOutcome<Reply> {
        val startedAt = clock()
        val terms =
            RelayTerms(tables.relayPeers.self, startedAt - request.arrivedAt, attempts, organisationGate.relayed(callerOrganisation))
        request.isCancellable = route.kind.idempotent
        try {
            val outcome =
                withTimeoutOrNull(remaining) { request.relay(peer, terms) } ?: ForwardOutcome.Unknown(ResultCode.DEADLINE_EXCEEDED)
            val code =
                when (outcome) {
                    is ForwardOutcome.Answered -> null
                    is ForwardOutcome.NotRun -> outcome.code
                    is ForwardOutcome.Unknown -> outcome.code
                }
            report(ForwardEvent.Relayed(request.id, peer.name, code?.name ?: "ANSWERED", clock() - startedAt))
            return outcome
        } finally {
            request.isCancellable = true
        }
    }

    private fun blockedFor(): Duration? = if (tables.crashes.isEmpty) null else tables.crashes.blockedFor(request.fingerprint)

    private fun refuse(
        chosen: ChosenTarget<Connection>,
        view: AdmissionView,
        refusal: Admission.Refused,
    ): ForwardOutcome.NotRun {
        chosen.connection?.let { sampler.release(it) }
        val target = chosen.candidate.target
        val delay = refusal.retryAfter
        report(
            ForwardEvent.Refused(
                request.id,
                route.name,
                view,
                target,
                chosen.expectedFactor,
                chosen.probes,
                delay,
                refusal.room,
                callerOrganisation.organisationName,
            ),
        )
        return if (refusal.room == null) parts.notRun(ResultCode.OVERLOADED, delay) else ForwardOutcome.NotRun(ResultCode.OVERLOADED, delay)
    }

    private fun askForRoom(
        view: AdmissionView,
        chosen: ChosenTarget<Connection>,
    ): RoomRequest {
        val work = statistics.serviceTime(route.name)
        val callerTimeLeft = request.deadline?.let { it - (clock() - request.arrivedAt) }
        return roomRequest(route, service.name, view, work, chosen.loadFactor, callerAge, callerTimeLeft, !hasAskedForRoom)
            .also { hasAskedForRoom = true }
    }

    /** Sends the request to [chosen], and to a second target as well while it takes longer than usual, where the plan calls for it. */
    private suspend fun attempt(
        number: Int,
        chosen: ChosenTarget<Connection>,
        expected: Duration,
        roomRequest: RoomRequest?,
    ): SendOutcome<Reply> {
        if (!maySendTwice) return attemptOnce(number, chosen, expected, roomRequest)
        val terms = SecondSendTerms(request.id, route.name, service.name, clock(), expected, maximumAttempts - number) { remaining }
        return secondSends.attempt(
            terms,
            { attemptOnce(number, chosen, expected, roomRequest) },
            { attemptSecond(number + 1, terms) },
        ) {
            isRaceDecided = true
        }
    }

    /** Sends the request to a second target with a free slot, or returns null when there is none. */
    private suspend fun attemptSecond(
        number: Int,
        terms: SecondSendTerms,
    ): SendOutcome<Reply>? {
        if (!maySendSecond()) return null
        val candidates = tables.targets.candidates(service.name, tried).ifEmpty { return null }
        val chosen = sampler.choose(candidates, service, transferBytes, acceptableFactor(), tables.state.age() > OLD_RECORDS_AGE)
        val expected = statistics.serviceTime(route.name) * chosen.expectedFactor
        val isWorthIt = chosen.connection != null && isWorthSecondSend(chosen.excess, expected, remaining) && maySendSecond()
        if (!isWorthIt || isSurpassed(chosen.candidate, candidates) || !secondSends.tryTake(terms)) {
            chosen.connection?.let { sampler.release(it) }
            return null
        }
        return attemptOnce(number, chosen, expected, roomRequest = null)
    }

    /** A request that may end its targets goes to one at a time. */
    private fun maySendSecond() = tables.crashes.crashes(request.fingerprint) == 0 && tables.plannedStop.allows(remaining)

    private suspend fun attemptOnce(
        number: Int,
        chosen: ChosenTarget<Connection>,
        expected: Duration,
        roomRequest: RoomRequest?,
    ): SendOutcome<Reply> {
        val target = chosen.candidate.target
        tried += target.id
        tables.targets.recordSend(chosen.candidate)
        val crashesBefore = if (tables.crashes.isEmpty) 0 else tables.crashes.crashes(request.fingerprint)
        val tickets = recorder.recordSend(chosen.candidate, route.name, expected)
        val started = clock()
        val left = remaining
        report(sentEvent(number, chosen, left))
        var result: SendResult<Reply>? = null
        var sentAt: Duration? = null
        // The other of two attempts under way may find that the key was taken away since.
        var sentFor = callerOrganisation
        request.isCancellable = route.kind.idempotent
        try {
            val confirm =
                suspend {
                    mayStillGetRequests(target).also {
                        sentAt = if (it) clock() else null
                        sentFor = callerOrganisation
                    }
                }
            val dispatch = Dispatch(target, chosen.connection, left, { callerOrganisation }, confirm)
            result = withTimeoutOrNull(left) { request.send(dispatch) }
                ?: SendResult.Broken(ResultCode.DEADLINE_EXCEEDED)
        } finally {
            request.isCancellable = true
            if (result == null) recordUnfinished(chosen.candidate, tickets, started)
            recordRun(sentFor, result, sentAt, started)
        }
        val took = clock() - started
        val crashCount = withContext(NonCancellable) { recordCrash(target, result, crashesBefore) }
        report(ForwardEvent.AttemptEnded(request.id, target, resultName(result), took, crashCount))
        recorder.recordResult(request.id, route.name, chosen, tickets, result, took)
        roomRequest?.let { tables.room?.recordUse(it, roomUse(result), took) }
        if (maySendTwice) secondSends.recordResult(route.name, result, took)
        return outcomeOf(target, result)
    }

    /** Records an attempt that was cancelled: another target has answered, or the caller has left. */
    private fun recordUnfinished(
        candidate: TargetCandidate,
        tickets: AttemptTickets,
        startedAt: Duration,
    ) {
        if (!isRaceDecided) return recorder.recordInconclusive(candidate, tickets)
        recorder.recordOvertaken(candidate, tickets)
        secondSends.recordOvertaken(route.name, clock() - startedAt)
    }

    /** Counts a run of the caller's organisation unless the request was not sent, or its target proved that it did not run it. */
    private fun recordRun(
        sentFor: CallerOrganisation,
        result: SendResult<Reply>?,
        sentAt: Duration?,
        startedAt: Duration,
    ) {
        val organisation = sentFor.organisationName ?: return
        val runAt = if (result is SendResult.Replied) sentAt ?: startedAt else sentAt
        if (runAt != null && result !is SendResult.Refused) tables.recordRun(organisation, runAt)
    }

    /**
     * The target may have left, this entry VM's stop come too near, or the caller's key been taken away, while the target was probed
     * or a connection opened to it.
     */
    private suspend fun mayStillGetRequests(target: RegisteredTarget): Boolean {
        tables.refreshRecords()
        return identifyCaller() && tables.targets.mayGetRequests(target) && tables.plannedStop.allows(remaining)
    }

    /** Records that the target ended under the request, or that it answered; returns the count in the first case. */
    private suspend fun recordCrash(
        target: RegisteredTarget,
        result: SendResult<Reply>,
        crashesBefore: Int,
    ): CrashCount? {
        val crashes = tables.crashes
        if (result is SendResult.Replied && !crashes.isEmpty) crashes.recordAnswer(request.fingerprint)
        if (result !is SendResult.Broken || result.code != ResultCode.CONNECTION_LOST) return null
        // Most targets do not answer, so that the way to them is lost rather than this one ended.
        if (tables.reach.isDoubtful) return null
        if (!tables.targets.isSilent(target) && sampler.isAlive(target, service)) return null
        crashes.recordCrash(request.fingerprint, crashesBefore)
        return CrashCount(request.fingerprint, crashes.crashes(request.fingerprint))
    }

    private fun outcomeOf(
        target: RegisteredTarget,
        result: SendResult<Reply>,
    ): SendOutcome<Reply> =
        when (result) {
            is SendResult.Replied -> SendOutcome(ForwardOutcome.Answered(result.reply, target), result.failed && route.kind.idempotent)
            is SendResult.Refused ->
                SendOutcome(
                    parts.notRun(ResultCode.TARGET_REFUSED),
                    mayRetry = true,
                    targetsReached = if (result.refusal == Refusal.WITHDRAWN) 0 else 1,
                    unreachable = if (result.refusal == Refusal.CONNECTION_REFUSED) 1 else 0,
                )
            is SendResult.Broken -> SendOutcome(ForwardOutcome.Unknown(result.code), route.kind.idempotent)
        }

    private fun sentEvent(
        number: Int,
        chosen: ChosenTarget<Connection>,
        left: Duration,
    ) = ForwardEvent.Sent(
        request = request.id,
        route = route.name,
        attempt = number,
        target = chosen.candidate.target,
        expectedFactor = chosen.expectedFactor,
        probes = chosen.probes,
        planVersion =
            tables.state.routes
                ?.plan
                ?.version ?: -1,
        factsAge = tables.state.age(),
        remaining = left,
        organisation = callerOrganisation.organisationName,
    )

    private fun resultName(result: SendResult<Reply>): String =
        when (result) {
            is SendResult.Replied -> if (result.failed) "failed" else "replied"
            is SendResult.Refused -> result.refusal.name
            is SendResult.Broken -> result.code.name
        }

    private companion object {
        /** The shortest time left with which a request is sent: a network round trip. */
        val MINIMUM_TIME_LEFT = 15.milliseconds

        /** The bytes of request and response together from which requests stay in their data centre while their objective allows it. */
        const val LARGE_BODY_BYTES = 16_384

        /** The share of the remaining objective that a target in the same data centre may take for a request with a large body. */
        const val LOCAL_OBJECTIVE_SHARE = 0.6

        /** The peers that are asked to serve one request; the first nearly always can. */
        const val MAXIMUM_RELAYS = 3

        /** The refusals that say that a peer can serve no request now; the request has not run, and another peer may serve it. */
        val PEER_UNUSABLE = setOf(ResultCode.NOT_READY, ResultCode.LEAVING, ResultCode.NO_TARGET)

        /** The longest time over which callers that are refused until targets take requests again are spread. */
        val MAXIMUM_SILENCE_SPREAD = 2.seconds
    }
}
