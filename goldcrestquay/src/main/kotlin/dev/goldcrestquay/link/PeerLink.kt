package dev.goldcrestquay.link

import com.github.michaelbull.result.Result
import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.machine.ListedVm
import dev.goldcrestquay.machine.MemberRecord
import dev.goldcrestquay.move.EvidenceRow
import dev.goldcrestquay.move.MoveStop

/**
 * News about a target's start.
 *
 * @property warm whether the target bears its full load in that start.
 */
public data class WarmthNotice(
    val service: String,
    val target: String,
    val startEpoch: Long,
    val warm: Boolean,
)

/**
 * What two entry VMs tell each other in one exchange.
 *
 * @property sender the identity of the sender.
 * @property offset the offset of the sender's state.
 * @property generation the generation in force at the sender.
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

/** What a peer gives to an entry VM that is behind. */
public sealed interface CatchUp {
    /** The records that were missing. */
    public data class Records(
        val batch: LogBatch,
    ) : CatchUp

    /** The whole state, when the records are no longer kept. */
    public data class State(
        val state: EnvironmentState,
    ) : CatchUp

    /** The peer has nothing newer. */
    public data object Nothing : CatchUp
}

/**
 * A question to the entry VM of an earlier attempt.
 *
 * @property asker the identity of the entry VM that holds the repeat.
 */
public data class KeyQuestion(
    val service: String,
    val key: String,
    val asker: String,
)

/** What became of an attempt at the entry VM asked. */
public enum class KeyFate {
    /** The attempt was not seen, and will be refused if it still comes. */
    FENCED,

    /** The attempt ended without running; it will be refused if it comes again. */
    NOT_RUN,

    /** The attempt ran or may have run. */
    RAN,

    /** Another repeat fenced the attempt earlier. */
    FENCED_BY_OTHER,
}

/**
 * The answer to a [KeyQuestion].
 *
 * @property other the entry VM to ask next when another repeat came earlier.
 */
public data class KeyAnswer(
    val fate: KeyFate,
    val other: String? = null,
)

/**
 * The connection to other entry VMs, by peer address.
 *
 * @property exchange sends a message and returns the peer's own.
 * @property catchUp asks for what follows an offset.
 * @property ask asks about an earlier attempt; an answer waits until that attempt has ended.
 */
public class PeerLink(
    public val exchange: suspend (String, ExchangeMessage) -> Result<ExchangeMessage, LinkFailure>,
    public val catchUp: suspend (String, Long) -> Result<CatchUp, LinkFailure>,
    public val ask: suspend (String, KeyQuestion) -> Result<KeyAnswer, LinkFailure>,
)

/** Reads the platform's VM list. */
public typealias VmListLink = suspend () -> Result<List<ListedVm>, LinkFailure>
