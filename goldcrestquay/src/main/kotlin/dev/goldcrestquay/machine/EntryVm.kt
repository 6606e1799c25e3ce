package dev.goldcrestquay.machine

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import dev.goldcrestquay.contract.Outcome
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.EntryLinks
import dev.goldcrestquay.link.KeyAnswer
import dev.goldcrestquay.link.KeyQuestion
import dev.goldcrestquay.link.LinkFailure
import dev.goldcrestquay.link.SendAttempt
import dev.goldcrestquay.move.EvidenceKey
import dev.goldcrestquay.move.MoveController
import dev.goldcrestquay.move.MoveEvidenceTable
import dev.goldcrestquay.routing.AtMostOnceGuard
import dev.goldcrestquay.routing.AttemptTable
import dev.goldcrestquay.routing.Call
import dev.goldcrestquay.routing.CallKey
import dev.goldcrestquay.routing.RoutingEvent
import dev.goldcrestquay.zone.AddressAnswer
import dev.goldcrestquay.zone.addressAnswer
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/**
 * One entry VM: its tables, the control decisions based on them and the calls that it routes.
 *
 * Locks are taken one at a time, except in the order that ARCHITECTURE.md states: services before a service's own table.
 */
public class EntryVm(
    self: MemberRecord,
    internal val settings: EntrySettings,
    internal val links: EntryLinks,
    random: Random,
    private val observe: (RoutingEvent) -> Unit = {},
) {
    private val identity = self.identity

    /** The clock that call deadlines refer to. */
    public val clock: Clock = links.clock

    /** The environment state, built from the log. */
    public val environments: EnvironmentTable = EnvironmentTable()

    /** The other entry VMs. */
    public val members: MemberTable = MemberTable(self, settings.membership, links.clock, random)

    /** The leases of services. */
    public val leases: LeaseTable = LeaseTable(identity, settings.leases, links.clock)

    /** The call statistics per version for the moves under way. */
    public val evidence: MoveEvidenceTable = MoveEvidenceTable(identity)

    /** Decides about version moves. */
    public val moves: MoveController = MoveController(identity, evidence, links.clock, links.wallClock)

    /** The attempts with an idempotency key that this entry VM received. */
    public val attempts: AttemptTable = AttemptTable(links.clock)

    /** The tables and routers of the services that this entry VM handles. */
    public val services: ServiceRegistry = ServiceRegistry(settings, links, random, ::onRoutingEvent)

    /** The periodic tasks that keep the tables up to date. */
    public val control: EntryControl = EntryControl(this, random)

    private val guard = AtMostOnceGuard(identity, attempts, ::askEntry)

    /** Whether callers may be sent to this entry VM. */
    public val ready: Boolean get() = environments.state.environment != null && control.canServe && !leaving

    /** Whether this entry VM finishes its calls in flight and takes no new callers. */
    public val leaving: Boolean get() = members.self.status == MemberStatus.LEAVING

    /** The entry VMs that a caller in [callerDataCentre] is to use for [service], or null when the service is unknown. */
    public fun addresses(
        service: String,
        callerDataCentre: String?,
    ): AddressAnswer? {
        environments.state.environment?.service(service) ?: return null
        return control.placement.addressAnswer(service, callerDataCentre)
    }

    /** Routes [call], at most once when it is not idempotent; [key] identifies the call across its caller's retries. */
    public suspend fun <Reply> call(
        call: Call,
        key: CallKey? = null,
        send: SendAttempt<Reply>,
    ): Outcome<Reply> {
        if (environments.state.environment == null) return Outcome.NotRun(ResultCode.NOT_READY)
        val router = services.routerOf(call.service) ?: return Outcome.NotRun(ResultCode.UNKNOWN_SERVICE)
        if (key == null || call.idempotent) return router.call(call, send)
        return guard.guard(call.service, key) { router.call(call, send) }
    }

    /** Answers another entry VM's question about an attempt made here. */
    public suspend fun answer(question: KeyQuestion): KeyAnswer = attempts.answer(question)

    private suspend fun askEntry(
        entry: String,
        question: KeyQuestion,
    ): Result<KeyAnswer, LinkFailure> {
        val peer = members.all().firstOrNull { it.identity == entry } ?: return Err(LinkFailure.UNREACHABLE)
        return withTimeoutOrNull(settings.keyQuestionTimeout) { links.peers.ask(peer.peerAddress, question) } ?: Err(LinkFailure.REPLY_LOST)
    }

    private fun onRoutingEvent(event: RoutingEvent) {
        if (event is RoutingEvent.Ended) recordEvidence(event)
        observe(event)
    }

    private fun recordEvidence(event: RoutingEvent.Ended) {
        val state = environments.state
        val move = state.environment?.moveOf(event.service) ?: return
        val progress = state.moves[move.name]?.takeIf { it.verdict == null } ?: return
        evidence.record(EvidenceKey(move.name, progress.started, event.target.name, event.route), event.failed, event.milliseconds)
    }
}
