package dev.goldcrestquay.spread

import dev.goldcrestquay.link.Clock
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The share of this entry VM's requests that one target rejects although its load shows a free slot at the time.
 *
 * Such a target looks better the more it rejects, since it has less to do. What is known fades, so that it is tried again.
 */
internal class RejectedShare(
    private val clock: Clock,
) {
    private var rejected = 0.0
    private var accepted = 0.0
    private var fadedAt = Duration.ZERO

    fun recordRejection() {
        fade()
        rejected = (rejected + 1.0).coerceAtMost(MAXIMUM_WEIGHT)
    }

    /** Records a request that the target ran; free while it has rejected none. */
    fun recordAcceptance() {
        if (rejected == 0.0) return
        fade()
        accepted = (accepted + 1.0).coerceAtMost(MAXIMUM_WEIGHT)
    }

    /** The factor on the target's expected time by which targets are compared; 1.0 when nothing is known against it. */
    fun factor(): Double {
        if (rejected == 0.0) return 1.0
        fade()
        return 1.0 + REJECTION_PENALTY * rejected / (rejected + accepted + 1.0)
    }

    private fun fade() {
        val now = clock()
        val share = exp(-((now - fadedAt) / FADING_TIME))
        fadedAt = now
        rejected *= share
        accepted *= share
        if (rejected >= FORGOTTEN_WEIGHT) return
        rejected = 0.0
        accepted = 0.0
    }

    private companion object {
        /** The time constant of what is known: an entry VM of a large fleet sends a target one request in ten seconds. */
        val FADING_TIME = 20.seconds

        /** The weight below which a rejection is forgotten: that of one after half a minute. */
        const val FORGOTTEN_WEIGHT = 0.25

        /** The most that counts of rejections and of acceptances: a target that rejected all comes back within a minute. */
        const val MAXIMUM_WEIGHT = 4.0

        /** The penalty of a target that rejects everything, the same as that of a failure. */
        const val REJECTION_PENALTY = 6.0
    }
}
