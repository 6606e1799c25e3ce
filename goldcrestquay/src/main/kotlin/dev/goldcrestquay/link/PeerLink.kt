package dev.goldcrestquay.link

import com.github.michaelbull.result.Result
import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.machine.ListedVm
import dev.goldcrestquay.machine.MemberRecord
import dev.goldcrestquay.move.EvidenceRow
import dev.goldcrestquay.move.MoveStop

/**
 * The warm-up state of a target.
 *
 * @property startEpoch identifies the start of the target that the notice is about; changes with each start.
 * @property warm whether the target has warmed up since that start and can take its full load.
 */
public data class WarmthNotice(
    val service: String,
    val target: String,
    val startEpoch: Long,
    val warm: Boolean,
)

/**
 * The message that each of two entry VMs sends in an exchange.
 *
 * @property sender the identity of the sender.
 * @property offset the offset of the sender's state.
 * @property generation the generation in force at the sender.
 * @property members the recent changes of the sender's member list.
 * @property evidence the sender's own counters.
 * @property stops the moves that are stopped on the sender.
 * @property warmth the changes of targets' warm-up states.
 */
public data class ExchangeMessage(
    val sender: String,
    val offset: Long,
    val generation: Long,
    val members: List<MemberRecord>,
    val evidence: List<EvidenceRow>,
    val stops: List<MoveStop>,
    val warmth: List<WarmthNotice>,
)

/** The reply of a peer to an entry VM whose state may be behind. */
public sealed interface CatchUp {
    /** The missing records. */
    public data class Records(
        val batch: LogBatch,
    ) : CatchUp

    /** The whole state, when the peer no longer has the missing records. */
    public data class State(
        val state: EnvironmentState,
    ) : CatchUp

    /** The peer has no newer records. */
    public data object Nothing : CatchUp
}

/**
 * A question about an earlier attempt of a call, sent to the entry VM that received it.
 *
 * @property key the idempotency key of the call.
 * @property asker the identity of the entry VM that received the retry.
 */
public data class KeyQuestion(
    val service: String,
    val key: String,
    val asker: String,
)

/** The state of an earlier attempt at the entry VM that was asked. */
public enum class KeyFate {
    /** The attempt has not arrived, and will be refused if it still does. */
    FENCED,

    /** The attempt ended without running, and will be refused if it arrives again. */
    NOT_RUN,

    /** The attempt ran or may have run. */
    RAN,

    /** Another retry fenced the attempt earlier. */
    FENCED_BY_OTHER,
}

/**
 * The answer to a [KeyQuestion].
 *
 * @property other the entry VM to ask next, which received the earlier retry; null unless [fate] is [KeyFate.FENCED_BY_OTHER].
 */
public data class KeyAnswer(
    val fate: KeyFate,
    val other: String? = null,
)

/**
 * The connections to other entry VMs; the first argument of each call is the peer's address.
 *
 * @property exchange sends a message and returns the peer's message.
 * @property catchUp requests the records after an offset.
 * @property ask asks about an earlier attempt; the peer replies once that attempt has ended.
 */
public class PeerLink(
    public val exchange: suspend (String, ExchangeMessage) -> Result<ExchangeMessage, LinkFailure>,
    public val catchUp: suspend (String, Long) -> Result<CatchUp, LinkFailure>,
    public val ask: suspend (String, KeyQuestion) -> Result<KeyAnswer, LinkFailure>,
)

/** Reads the platform's VM list. */
public typealias VmListLink = suspend () -> Result<List<ListedVm>, LinkFailure>
