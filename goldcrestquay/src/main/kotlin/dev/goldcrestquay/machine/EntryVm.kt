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
import dev.goldcrestquay.routing.AttemptTable
import dev.goldcrestquay.routing.Call
import dev.goldcrestquay.routing.CallKey
import dev.goldcrestquay.routing.RepeatGuard
import dev.goldcrestquay.routing.RoutingEvent
import dev.goldcrestquay.zone.AddressAnswer
import dev.goldcrestquay.zone.addressAnswer
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/**
 * One entry VM: its tables, the decisions over them and the calls it carries.
 *
 * Locks are taken one at a time, but for the order that ARCHITECTURE.md states: services before a service's own table.
 */
public class EntryVm(
    self: MemberRecord,
    internal val settings: EntrySettings,
    internal val links: EntryLinks,
    random: Random,
    private val observe: (RoutingEvent) -> Unit = {},
) {
    private val identity = self.identity

    /** The clock that deadlines of calls are stated on. */
    public val clock: Clock = links.clock

    /** The state agreed through the log. */
    public val environments: EnvironmentTable = EnvironmentTable()

    /** The other entry VMs. */
    public val members: MemberTable = MemberTable(self, settings.membership, links.clock, random)

    /** The leases of services. */
    public val leases: LeaseTable = LeaseTable(identity, settings.leases, links.clock)

    /** The evidence about versions under way. */
    public val evidence: MoveEvidenceTable = MoveEvidenceTable(identity)

    /** The decisions about version moves. */
    public val moves: MoveController = MoveController(identity, evidence, links.clock, links.wallClock)

    /** The keyed attempts of this entry VM. */
    public val attempts: AttemptTable = AttemptTable(links.clock)

    /** The services this entry VM has met. */
    public val services: ServiceRegistry = ServiceRegistry(settings, links, random, ::observed)

    /** The loops that keep the tables true. */
    public val control: EntryControl = EntryControl(this, random)

    private val guard = RepeatGuard(identity, attempts, ::askEntry)

    /** Whether this entry VM may be named to callers. */
    public val ready: Boolean get() = environments.state.environment != null && control.mayServe && !leaving

    /** Whether this entry VM finishes what it holds and takes no new callers. */
    public val leaving: Boolean get() = members.self.status == MemberStatus.LEAVING

    /** Answers a caller that asks which entry VMs to use. */
    public fun addresses(
        service: String,
        callerDataCentre: String?,
    ): AddressAnswer? {
        environments.state.environment?.service(service) ?: return null
        return control.placement.addressAnswer(service, callerDataCentre)
    }

    /** Runs [call], once at most when it is not idempotent; [key] names it over repeats. */
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

    /** Answers another entry VM's question about an attempt. */
    public suspend fun answer(question: KeyQuestion): KeyAnswer = attempts.answer(question)

    private suspend fun askEntry(
        entry: String,
        question: KeyQuestion,
    ): Result<KeyAnswer, LinkFailure> {
        val peer = members.all().firstOrNull { it.identity == entry } ?: return Err(LinkFailure.UNREACHABLE)
        return withTimeoutOrNull(settings.askTimeout) { links.peers.ask(peer.peerAddress, question) } ?: Err(LinkFailure.REPLY_LOST)
    }

    private fun observed(event: RoutingEvent) {
        if (event is RoutingEvent.Ended) count(event)
        observe(event)
    }

    private fun count(event: RoutingEvent.Ended) {
        val state = environments.state
        val move = state.environment?.moveOf(event.service) ?: return
        val progress = state.moves[move.name]?.takeIf { it.verdict == null } ?: return
        evidence.record(EvidenceKey(move.name, progress.started, event.target.name, event.route), event.failed, event.milliseconds)
    }
}
