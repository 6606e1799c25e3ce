package dev.goldcrestquay.routing

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.machine.RegisteredTarget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Whether this entry VM still reaches targets, by the latest contacts with each of them.
 *
 * It is cut off when nearly none of several targets has answered lately. That all targets are down looks the same from here; the
 * peers' reports tell the two apart, since then they are cut off as well. Confined to the entry VM's event loop.
 */
public class TargetReach(
    private val clock: Clock,
) {
    private class Contact(
        val isAnswered: Boolean,
        val at: Duration,
    )

    /** The latest contact with each target. */
    private val contacts = LinkedHashMap<String, Contact>()

    /** Whether nearly no target answers; ends only when half of them do again. */
    public var isCutOff: Boolean = false
        private set

    /** Whether half or more of several targets have not answered lately. */
    public val isDoubtful: Boolean get() = isCutOff || unansweredShare() >= DOUBTFUL_SHARE

    /** Records a contact with the target called [id]. */
    public fun recordContact(
        id: String,
        isAnswered: Boolean,
    ) {
        contacts.remove(id)
        contacts[id] = Contact(isAnswered, clock())
        val share = unansweredShare()
        isCutOff = if (isCutOff) share > RESTORED_SHARE else share >= CUT_OFF_SHARE
    }

    /** The given [probe], whose results are recorded. */
    public fun <Connection, Service> observe(
        probe: suspend (RegisteredTarget, Service) -> ProbeResult<Connection>?,
    ): suspend (RegisteredTarget, Service) -> ProbeResult<Connection>? =
        { target, service ->
            val startedAt = clock()
            val result = probe(target, service)
            // A probe that ends long after its timeout says that this entry VM stalled, not that the target did not answer.
            if (result != null || clock() - startedAt < LONGEST_PROBE) recordContact(target.id, result != null)
            result
        }

    /** The share of the targets contacted lately that did not answer; 0 while there are too few, unless it is known that most do not. */
    private fun unansweredShare(): Double {
        val oldest = clock() - WINDOW
        contacts.values.removeIf { it.at < oldest }
        if (contacts.size < MINIMUM_TARGETS) return if (isCutOff) 1.0 else 0.0
        return contacts.values.count { !it.isAnswered }.toDouble() / contacts.size
    }

    private companion object {
        /** How long a contact counts. */
        val WINDOW = 1.seconds

        /** The timeout of a probe, and some lateness. */
        val LONGEST_PROBE = 700.milliseconds

        /** The targets of one round of probes. */
        const val MINIMUM_TARGETS = 4

        const val CUT_OFF_SHARE = 0.8
        const val DOUBTFUL_SHARE = 0.5
        const val RESTORED_SHARE = 0.5
    }
}
