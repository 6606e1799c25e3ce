package dev.goldcrestquay.machine

import dev.goldcrestquay.routing.RoutingSettings
import dev.goldcrestquay.zone.PlacementSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The settings of one [EntryVm].
 *
 * @property logPeriod the time between two reads of the log.
 * @property vmListPeriod the time between two reads of the VM list.
 * @property controlPeriod the time between two control rounds, which decide about leases, moves and snapshots.
 * @property moveExchangePeriod the time between two exchanges of evidence among the carriers of a service with a move under way.
 * @property maximumReportAge the age of a target's last load report after which the lease holder probes the target.
 * @property snapshotRecordCount the number of records not covered by a snapshot after which one is due.
 * @property snapshotJitter the longest random wait before a due snapshot is written, so that a single entry VM writes it.
 * @property peerTimeout the timeout of an exchange with a peer.
 * @property logTimeout the timeout of a call to the log or for the VM list.
 * @property keyQuestionTimeout the timeout of a question to another entry VM about the outcome of an attempt.
 * @property incompleteStateTimeout how long an entry VM waits for a complete state before it serves with an incomplete one.
 */
public data class EntrySettings(
    val logPeriod: Duration = 500.milliseconds,
    val vmListPeriod: Duration = 10.seconds,
    val controlPeriod: Duration = 250.milliseconds,
    val moveExchangePeriod: Duration = 250.milliseconds,
    val maximumReportAge: Duration = 1.seconds,
    val snapshotRecordCount: Long = 500,
    val snapshotJitter: Duration = 10.seconds,
    val peerTimeout: Duration = 1.seconds,
    val logTimeout: Duration = 2.seconds,
    val keyQuestionTimeout: Duration = 10.seconds,
    val incompleteStateTimeout: Duration = 15.seconds,
    val routing: RoutingSettings = RoutingSettings(),
    val membership: MembershipSettings = MembershipSettings(),
    val leases: LeaseSettings = LeaseSettings(),
    val placement: PlacementSettings = PlacementSettings(),
)
