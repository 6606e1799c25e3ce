package dev.goldcrestquay.spread

import dev.goldcrestquay.contract.PlannedRoute
import dev.goldcrestquay.contract.RequestKind
import kotlin.time.Duration

/**
 * What is known of an attempt under way when it is decided whether its request goes to a second target as well.
 *
 * @property elapsed the time since the attempt began.
 * @property usual the time within which nearly all attempts on the route end, or null while too few are known.
 * @property expected the time that the attempt was expected to take when its target was chosen.
 * @property serviceTime the time that a target with nothing else to do takes.
 * @property left the time until the caller's deadline or the route's timeout.
 * @property attemptsLeft the further targets that the request may be sent to.
 * @property hasBudget whether the part of the fleet's retry budget that a second send may use now has room; see [secondSendShare].
 */
internal data class SecondSendView(
    val elapsed: Duration,
    val usual: Duration?,
    val expected: Duration,
    val serviceTime: Duration,
    val left: Duration,
    val attemptsLeft: Int,
    val hasBudget: Boolean,
)

/** The result of a decision on a second send. */
internal sealed interface SecondSend {
    /** The request is to be sent to a second target now. */
    data object Now : SecondSend

    /** It is to be decided again after [wait], if the attempt has not ended by then. */
    data class After(
        val wait: Duration,
    ) : SecondSend

    /** The attempt under way stays the only one. */
    data object Never : SecondSend
}

/**
 * Decides whether a request whose attempt is still under way goes to a second target as well.
 *
 * Answers targets that turn several times slower after they were chosen, for moments or for long, where the caller's deadline leaves no time
 * to ask again. The second send waits until the attempt has lasted clearly longer than usual, and than was
 * expected of its target.
 */
internal fun decideSecondSend(view: SecondSendView): SecondSend {
    if (view.usual == null || view.attemptsLeft <= 0) return SecondSend.Never
    val wait = maxOf(view.usual, view.expected) * UNUSUAL_FACTOR - view.elapsed
    if (view.left - wait.coerceAtLeast(Duration.ZERO) < view.serviceTime) return SecondSend.Never
    val lastChance = view.left - view.serviceTime * LAST_CHANCE_SERVICE_TIMES
    return when {
        wait > Duration.ZERO -> SecondSend.After(wait)
        view.hasBudget -> SecondSend.Now
        lastChance > Duration.ZERO -> SecondSend.After(lastChance)
        else -> SecondSend.Never
    }
}

/** The share of the retry budget that a second send may use: more when the request would soon fail, which a retry can't mend. */
internal fun secondSendShare(
    left: Duration,
    serviceTime: Duration,
): Double = if (left <= serviceTime * LAST_CHANCE_SERVICE_TIMES) LAST_CHANCE_SHARE else EARLY_SHARE

/**
 * Whether the target found for a second send gets it: only into a free slot, and with the time for an answer.
 *
 * @param excess the number of slots that the target lacks to start the request at once.
 */
internal fun isWorthSecondSend(
    excess: Int,
    expected: Duration,
    left: Duration,
): Boolean = excess == 0 && expected <= left

/**
 * Whether requests on [route] may be sent to a second target while the first still works on them.
 *
 * Only lookups with small responses, and only where callers can hardly ask again once their objective has passed.
 *
 * @param callerDeadline the time that callers give a request at their first attempt, or null if they state none.
 */
internal fun allowsSecondSend(
    route: PlannedRoute,
    callerDeadline: Duration?,
): Boolean {
    val objective = route.latencyObjective ?: return false
    if (route.kind != RequestKind.SAFE || callerDeadline == null) return false
    return callerDeadline <= objective * SHORT_DEADLINE_OBJECTIVES
}

/** The multiple of the usual and the expected time from which an attempt is late enough; just above them most are about to end. */
private const val UNUSUAL_FACTOR = 1.25

/** The service times before the deadline from which a request without an answer will probably fail. */
private const val LAST_CHANCE_SERVICE_TIMES = 2

/** The share of the retry budget that requests use that are merely late. */
private const val EARLY_SHARE = 0.5

/** The share that those use that will probably fail; the rest is for retries after a failure. */
private const val LAST_CHANCE_SHARE = 0.8

/** A deadline up to this multiple of the latency objective counts as too short to ask again. */
private const val SHORT_DEADLINE_OBJECTIVES = 4
