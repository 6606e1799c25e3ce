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

/** The place up to which an entry VM has followed the facts of one process. */
@Serializable
public data class FactPosition(
    val process: String,
    val sequence: Long,
    val membersVersion: Long,
)

/**
 * What an entry VM asks a peer for.
 *
 * @property known up to where the sender has the peer's facts, or null when it has none.
 * @property holdMilliseconds how long the peer may keep the answer back while it has no news.
 */
@Serializable
public data class ExchangeRequest(
    val sender: FleetMember,
    val known: FactPosition?,
    val holdMilliseconds: Long,
    val evidence: List<VersionCount> = emptyList(),
)

/**
 * What a peer tells.
 *
 * @property heldMilliseconds how long the peer kept this answer back.
 * @property ageMilliseconds how old the peer's facts may be, or null when it never had any from the store.
 * @property reader the peer address of the entry VM that reads the store for it, itself included; null when it knows none.
 * @property members all entry VMs, or null when nothing changed.
 */
@Serializable
public data class ExchangeReply(
    val position: FactPosition,
    val heldMilliseconds: Long,
    val ageMilliseconds: Long?,
    val reader: SocketAddress?,
    val records: List<SharedRecord>,
    val members: List<FleetMember>?,
    val rollouts: List<RolloutState>,
)

/** Asks the entry VM at an address; null when it does not answer in time. */
public typealias ExchangeLink = suspend (SocketAddress, ExchangeRequest) -> ExchangeReply?
