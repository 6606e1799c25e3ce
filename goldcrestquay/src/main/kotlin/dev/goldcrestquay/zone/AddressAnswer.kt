package dev.goldcrestquay.zone

import dev.goldcrestquay.machine.MemberRecord
import dev.goldcrestquay.machine.MemberStatus
import kotlinx.serialization.Serializable

/**
 * One entry VM that a caller may use.
 *
 * @property entry the identity to name as first entry VM when a call is repeated elsewhere.
 */
@Serializable
public data class EntryAddress(
    val address: String,
    val entry: String,
    val dataCentre: String,
)

/** The answer to a caller that asks which entry VMs to use for a service. */
@Serializable
public data class AddressAnswer(
    val service: String,
    val entries: List<EntryAddress>,
    val lifetimeMilliseconds: Long,
)

/** How long a caller may keep an answer; a leaving entry VM serves for longer than this. */
public const val ANSWER_LIFETIME_MILLISECONDS: Long = 5_000

/** Answers a caller in [callerDataCentre]: the service's carriers that answer, those of the caller's data centre first. */
public fun Placement.addressAnswer(
    service: String,
    callerDataCentre: String?,
): AddressAnswer {
    val carriers = carriersOf(service)
    val sure = carriers.filter { it.status == MemberStatus.ALIVE }.ifEmpty { carriers }
    val near = sure.sortedBy { if (it.dataCentre == callerDataCentre) 0 else 1 }
    return AddressAnswer(service, near.map { it.toAddress() }, ANSWER_LIFETIME_MILLISECONDS)
}

private fun MemberRecord.toAddress(): EntryAddress = EntryAddress(callerAddress, identity, dataCentre)
