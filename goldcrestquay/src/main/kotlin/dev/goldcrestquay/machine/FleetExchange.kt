package dev.goldcrestquay.machine

import dev.goldcrestquay.move.RolloutState
import dev.goldcrestquay.move.VersionCount
import dev.goldcrestquay.overload.ServiceLevel
import dev.goldcrestquay.overload.ServiceLoad
import dev.goldcrestquay.routing.CrashSuspicion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One entry VM on the platform, as its peers know it; the entry VMs of the project's own interface exchange a [MemberRecord].
 *
 * @property incarnation increases with each start of the process.
 * @property callerAddress where callers connect.
 * @property peerAddress where other entry VMs send exchange requests.
 * @property accepting whether new callers may be sent to this entry VM.
 * @property reachesTargets whether this entry VM reaches targets, so that others may relay requests to it.
 * @property formatVersion the latest version of the messages and records of entry VMs that this one reads; 0 from a release before the
 * versions.
 */
@Serializable
public data class FleetMember(
    val name: String,
    val incarnation: Long,
    val dataCentre: String,
    val callerAddress: SocketAddress,
    val peerAddress: SocketAddress,
    val accepting: Boolean,
    val reachesTargets: Boolean = true,
    val formatVersion: Int = 0,
) {
    public companion object {
        /** The version that this release reads; a release that adds a name or a meaning which earlier ones would misread increases it. */
        public const val PRESENT_FORMAT_VERSION: Int = 2

        /** The version from which on an entry VM runs a relayed request for the organisation that its terms name. */
        public const val RELAYED_CALLER_FORMAT_VERSION: Int = 2
    }
}

/**
 * How far an entry VM has replicated the records and the member list of one process.
 *
 * @property process the process that counts, as `name/incarnation`.
 * @property sequence the last change of a record that was replicated.
 * @property membersVersion the version of the process's member list, or null when the list held comes from another process.
 * @property confirmations how often the process has confirmed that its records match the store.
 * @property crashesVersion the last change of what the process knows about requests that end targets.
 */
@Serializable
public data class ReplicationPosition(
    val process: String,
    val sequence: Long,
    val membersVersion: Long?,
    val confirmations: Long = 0,
    val crashesVersion: Long = 0,
)

/**
 * A request for the records and members that changed on a peer; it is also the sender's heartbeat.
 *
 * @property known how far the sender has replicated the peer's records, or null when it has none of them.
 * @property holdMilliseconds how long the peer may hold its reply while it has no changes.
 * @property observed the members whose heartbeats reach the sender, or null when they are those of its last request.
 * @property evidence the answers counted by version during rollouts, by process: the sender's own and those reported to it.
 * @property isLeader whether the sender reads the store.
 * @property crashes what the sender has learned since its last request about requests that end targets.
 * @property completeThrough by feed, the offset up to which the sender knows all records of the [epoch].
 * @property epoch the latest epoch of the store that the sender knows; see [LogPosition].
 * @property loads what is asked of services at the sender and at those that report to it; empty when it does not share scarce room.
 */
@Serializable
public data class ExchangeRequest(
    val sender: FleetMember,
    val known: ReplicationPosition?,
    val holdMilliseconds: Long,
    @SerialName("heard")
    val observed: List<FleetMember>? = null,
    val evidence: Map<String, List<VersionCount>> = emptyMap(),
    @SerialName("isReader")
    val isLeader: Boolean = false,
    val crashes: List<CrashSuspicion> = emptyList(),
    val completeThrough: Map<Feed, Long> = emptyMap(),
    val epoch: Long = 0,
    val loads: List<ServiceLoad> = emptyList(),
)

/**
 * The reply of a peer to an [ExchangeRequest].
 *
 * @property heldMilliseconds how long the peer held this reply.
 * @property ageMilliseconds the age of the peer's records, or null when it never had any from the store.
 * @property leader the peer address of the entry VM that reads the store for the peer, its own included; null when it knows none.
 * @property storeUnavailable whether the store recently failed the peer's own calls.
 * @property members the changes of the member list, or null when there are none.
 * @property completeThrough by feed, the offset up to which the peer knows all records of the [epoch].
 * @property knowsObserved whether the peer still knows which members the sender observes.
 * @property epoch the latest epoch of the store that the peer knows; see [LogPosition].
 * @property crashes what the peer has learned about requests that end targets.
 * @property isWhole whether [records] are all records of the peer if the sender had replicated none; otherwise only later ones.
 * @property completeFrom by feed, the offset from which on the peer has missed no removal of the [epoch]; null from an earlier release.
 * @property levels the admission levels that the leader decided; empty when there are none, so that the sender goes by its own view.
 */
@Serializable
public data class ExchangeReply(
    val position: ReplicationPosition,
    val heldMilliseconds: Long,
    val ageMilliseconds: Long?,
    @SerialName("reader")
    val leader: SocketAddress?,
    @SerialName("turnedAway")
    val storeUnavailable: Boolean,
    val records: List<SharedRecord>,
    val members: MemberChanges?,
    @SerialName("knowsHeard")
    val knowsObserved: Boolean,
    val rollouts: List<RolloutState>,
    val completeThrough: Map<Feed, Long> = emptyMap(),
    val epoch: Long = 0,
    val crashes: List<CrashSuspicion> = emptyList(),
    val isWhole: Boolean = true,
    val completeFrom: Map<Feed, Long>? = null,
    val levels: List<ServiceLevel> = emptyList(),
)

/**
 * The changes of a member list.
 *
 * @property isWhole whether [present] is the whole list rather than a change to it.
 * @property removed the names of members that are no longer alive.
 */
@Serializable
public data class MemberChanges(
    val isWhole: Boolean,
    val present: List<FleetMember>,
    @SerialName("gone")
    val removed: List<String>,
)

/** Sends a request to the entry VM at an address; returns null when there is no reply. */
public typealias ExchangeLink = suspend (SocketAddress, ExchangeRequest) -> ExchangeReply?
