package dev.goldcrestquay.contract

import kotlinx.serialization.Serializable

/**
 * An organisation whose callers identify themselves with keys.
 *
 * @property keyDigests the SHA-256 digests of its keys, in lower-case hexadecimal digits.
 * @property priority goes before the priority of a route; 0 is the highest, null leaves the route's in force.
 */
@Serializable
public data class PlannedOrganisation(
    val name: String,
    val keyDigests: List<String>,
    val priority: Int?,
) {
    /** Leaves out the digests. */
    override fun toString(): String = "PlannedOrganisation(name=$name, keys=${keyDigests.size}, priority=$priority)"
}
