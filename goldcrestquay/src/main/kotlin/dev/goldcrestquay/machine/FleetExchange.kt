package dev.goldcrestquay.machine

import dev.goldcrestquay.move.RolloutState
import dev.goldcrestquay.move.VersionCount
import kotlinx.serialization.Serializable

/**
 * One entry VM as its peers know it.
 *
 * @property incarnation grows with each start of the process.
 * @property callerAddress where callers connect.
 * @property peerAddress where entry VMs exchange facts.
 * @property accepting whether callers may be sent here.
 */
@Serializable
public data class FleetMember(
    val name: String,
    val incarnation: Long,
    val dataCentre: String,
    val callerAddress: SocketAddress,
    val peerAddress: SocketAddress,
    val accepting: Boolean,
)

/**
 * The place up to which an entry VM has followed one process.
 *
 * @property membersVersion the version of the process's member list, or null when the list is not that process's.
 * @property confirmations how often the process has found its facts to be the store's.
 */
@Serializable
public data class FactPosition(
    val process: String,
    val sequence: Long,
    val membersVersion: Long?,
    val confirmations: Long = 0,
)

/**
 * What an entry VM asks a peer for.
 *
 * @property known up to where the sender has the peer's facts, or null when it has none.
 * @property holdMilliseconds how long the peer may keep the answer back while it has no news.
 * @property heard the members that the sender hears, or null when they are those of its last call.
 * @property evidence what the sender and those whom it hears saw of versions on the move, by process.
 * @property isReader whether the sender reads the store.
 */
@Serializable
public data class ExchangeRequest(
    val sender: FleetMember,
    val known: FactPosition?,
    val holdMilliseconds: Long,
    val heard: List<FleetMember>? = null,
    val evidence: Map<String, List<VersionCount>> = emptyMap(),
    val isReader: Boolean = false,
)

/**
 * What a peer tells.
 *
 * @property heldMilliseconds how long the peer kept this answer back.
 * @property ageMilliseconds how old the peer's facts may be, or null when it never had any from the store.
 * @property reader the peer address of the entry VM that reads the store for it, itself included; null when it knows none.
 * @property turnedAway whether the store failed the peer's own calls a moment ago.
 * @property members what changed among the entry VMs, or null when nothing did.
 * @property knowsHeard whether the peer still knows whom the sender hears.
 */
@Serializable
public data class ExchangeReply(
    val position: FactPosition,
    val heldMilliseconds: Long,
    val ageMilliseconds: Long?,
    val reader: SocketAddress?,
    val turnedAway: Boolean,
    val records: List<SharedRecord>,
    val members: MemberChanges?,
    val knowsHeard: Boolean,
    val rollouts: List<RolloutState>,
)

/**
 * What changed in a list of entry VMs.
 *
 * @property isWhole whether [present] is the whole list.
 * @property gone the names of those that are no longer alive.
 */
@Serializable
public data class MemberChanges(
    val isWhole: Boolean,
    val present: List<FleetMember>,
    val gone: List<String>,
)

/** Asks the entry VM at an address; null when it does not answer in time. */
public typealias ExchangeLink = suspend (SocketAddress, ExchangeRequest) -> ExchangeReply?
