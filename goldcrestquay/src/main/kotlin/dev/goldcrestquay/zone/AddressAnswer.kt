package dev.goldcrestquay.zone

import dev.goldcrestquay.machine.MemberRecord
import dev.goldcrestquay.machine.MemberStatus
import kotlinx.serialization.Serializable

/**
 * One entry VM that a caller may use.
 *
 * @property entry the identity that the caller names as the first entry VM when it retries a call on another one.
 */
@Serializable
public data class EntryAddress(
    val address: String,
    val entry: String,
    val dataCentre: String,
)

/**
 * The answer to a caller that asks which entry VMs to use for a service.
 *
 * @property entries the entry VMs in order of preference.
 * @property lifetimeMilliseconds how long the caller may use the answer.
 */
@Serializable
public data class AddressAnswer(
    val service: String,
    val entries: List<EntryAddress>,
    val lifetimeMilliseconds: Long,
)

/** How long a caller may use an answer; an entry VM that is about to stop keeps serving for longer than this. */
public const val ANSWER_LIFETIME_MILLISECONDS: Long = 5_000

/**
 * The entry VMs that a caller in [callerDataCentre] should use for [service], those of its own data centre first.
 *
 * Only members that are alive are listed or, when there are none, all entry VMs that carry the service.
 */
public fun Placement.addressAnswer(
    service: String,
    callerDataCentre: String?,
): AddressAnswer {
    val carriers = carriersOf(service)
    val preferred = carriers.filter { it.status == MemberStatus.ALIVE }.ifEmpty { carriers }
    val nearestFirst = preferred.sortedBy { if (it.dataCentre == callerDataCentre) 0 else 1 }
    return AddressAnswer(service, nearestFirst.map { it.toAddress() }, ANSWER_LIFETIME_MILLISECONDS)
}

private fun MemberRecord.toAddress(): EntryAddress = EntryAddress(callerAddress, identity, dataCentre)
