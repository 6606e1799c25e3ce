package dev.goldcrestquay.routing

import kotlin.math.exp

/**
 * Estimates a target's mean service time from its answers and from the age of calls that are still in flight.
 *
 * Calls in flight count as censored observations, so that a target that stops answering looks slow before its first late answer.
 * All times are in milliseconds.
 */
internal class ServiceTimeEstimate(
    private val decayMilliseconds: Double,
    private val priorCalls: Double,
) {
    private var observedTime = 0.0
    private var observedCalls = 0.0
    private var decayedAt = 0.0
    private var openCalls = 0
    private var openWeight = 0.0
    private var openSentAt = 0.0

    /** Records a call sent at [sentAt] that is expected to take [waitFactor] service times, including its wait for a slot. */
    fun opened(
        sentAt: Double,
        waitFactor: Double,
    ) {
        openCalls++
        openWeight += 1 / waitFactor
        openSentAt += sentAt / waitFactor
    }

    /** Records the end of a call passed to [opened]; [answered] is false if the call says nothing about the service time. */
    fun closed(
        now: Double,
        sentAt: Double,
        waitFactor: Double,
        answered: Boolean,
    ) {
        openCalls--
        openWeight -= 1 / waitFactor
        openSentAt -= sentAt / waitFactor
        if (openCalls == 0) {
            openWeight = 0.0
            openSentAt = 0.0
        }
        if (!answered) return
        decay(now)
        observedTime += (now - sentAt).coerceAtLeast(MINIMUM_SAMPLE_MILLISECONDS) / waitFactor
        observedCalls += 1.0
    }

    /** The mean service time, close to [serviceMean] while there are few observations. */
    fun mean(
        now: Double,
        serviceMean: Double,
    ): Double {
        decay(now)
        val openTime = (openWeight * now - openSentAt).coerceAtLeast(0.0)
        return (priorCalls * serviceMean + observedTime + openTime) / (priorCalls + observedCalls)
    }

    private fun decay(now: Double) {
        val elapsed = now - decayedAt
        if (elapsed < DECAY_STEP_MILLISECONDS) return
        val factor = exp(-elapsed / decayMilliseconds)
        observedTime *= factor
        observedCalls *= factor
        decayedAt = now
    }

    private companion object {
        /** The shortest service time recorded, in milliseconds. */
        const val MINIMUM_SAMPLE_MILLISECONDS = 0.01

        /** The shortest time between two decays, in milliseconds. */
        const val DECAY_STEP_MILLISECONDS = 1.0
    }
}
