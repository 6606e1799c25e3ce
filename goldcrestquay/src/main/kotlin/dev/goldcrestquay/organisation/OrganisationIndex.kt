package dev.goldcrestquay.organisation

import dev.goldcrestquay.contract.PlannedOrganisation
import dev.goldcrestquay.contract.RoutePlan
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.security.SecureRandom

/**
 * The organisations of one [plan] by their keys.
 *
 * A key that two organisations have identifies neither. Rows of the same name are one organisation with the keys of all of them.
 *
 * @param previous the index of the plan that was in force before in this process, or null.
 */
internal class OrganisationIndex(
    private val plan: RoutePlan,
    previous: OrganisationIndex?,
) {
    private val organisationsByName = plan.organisations.asReversed().associateBy { it.name }
    private val namesByDigest = HashMap<ByteBuffer, String>()

    /** By name, the version of the plan from which on, as far as this process knows, an organisation has lost no key. */
    private val completeSince: Map<String, Long>

    init {
        val shared = HashSet<ByteBuffer>()
        for (organisation in plan.organisations) {
            for (digest in organisation.keyDigests.mapNotNull(::parse)) {
                val known = namesByDigest.put(blind(digest), organisation.name)
                if (known != null && known != organisation.name) shared += blind(digest)
            }
        }
        namesByDigest -= shared
        completeSince = organisationsByName.keys.associateWith { previous?.completeSince(it, namesByDigest) ?: plan.version }
    }

    /** The organisation that has [key], or null. */
    fun find(key: CallerKey): PlannedOrganisation? = namesByDigest[blind(key.digest)]?.let { organisationsByName[it] }

    /** The organisation called [name] if it has lost no key since the plan of the given [version], or null. */
    fun findUnchanged(
        name: String,
        version: Long,
    ): PlannedOrganisation? = organisationsByName[name].takeIf { version >= (completeSince[name] ?: Long.MAX_VALUE) }

    /** The organisation called [name], or null. */
    fun find(name: String): PlannedOrganisation? = organisationsByName[name]

    private fun completeSince(
        name: String,
        later: Map<ByteBuffer, String>,
    ): Long? = completeSince[name].takeIf { namesByDigest.all { (digest, owner) -> owner != name || later[digest] == name } }

    private companion object {
        const val SALT_BYTES = 32
        const val DIGEST_BYTES = 32
        const val HEXADECIMAL_RADIX = 16
        val salt = ByteArray(SALT_BYTES).also { SecureRandom().nextBytes(it) }

        /** The time that a look-up takes depends on a salt that nobody knows, and so tells nothing of the keys. */
        fun blind(digest: ByteArray): ByteBuffer =
            ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").run { update(salt).let { digest(digest) } })

        fun parse(text: String): ByteArray? =
            text
                .chunked(2)
                .map { (it.toIntOrNull(HEXADECIMAL_RADIX) ?: return null).toByte() }
                .toByteArray()
                .takeIf { it.size == DIGEST_BYTES }
    }
}
