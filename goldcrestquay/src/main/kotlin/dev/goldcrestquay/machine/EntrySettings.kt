package dev.goldcrestquay.machine

import dev.goldcrestquay.routing.RoutingSettings
import dev.goldcrestquay.zone.PlacementSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The constants of one entry VM.
 *
 * @property logPeriod the time between two reads of the log.
 * @property vmListPeriod the time between two reads of the VM list.
 * @property controlPeriod the time between two rounds of decisions about leases, moves and snapshots.
 * @property movePeriod the time between two exchanges of evidence among the carriers of a service with a move under way.
 * @property probePeriod the age of a report after which the lease holder probes a target.
 * @property snapshotEvery the number of records after which a snapshot is due.
 * @property snapshotJitter the longest wait before a due snapshot is written, so that one VM writes it.
 * @property peerTimeout how long an exchange may take.
 * @property logTimeout how long the log may take to answer.
 * @property askTimeout how long another entry VM may take to say what became of an attempt.
 * @property incompleteGrace how long a VM without a complete state waits for a peer before it serves by what it has.
 */
public data class EntrySettings(
    val logPeriod: Duration = 500.milliseconds,
    val vmListPeriod: Duration = 10.seconds,
    val controlPeriod: Duration = 250.milliseconds,
    val movePeriod: Duration = 250.milliseconds,
    val probePeriod: Duration = 1.seconds,
    val snapshotEvery: Long = 500,
    val snapshotJitter: Duration = 10.seconds,
    val peerTimeout: Duration = 1.seconds,
    val logTimeout: Duration = 2.seconds,
    val askTimeout: Duration = 10.seconds,
    val incompleteGrace: Duration = 15.seconds,
    val routing: RoutingSettings = RoutingSettings(),
    val membership: MembershipSettings = MembershipSettings(),
    val leases: LeaseSettings = LeaseSettings(),
    val placement: PlacementSettings = PlacementSettings(),
)
