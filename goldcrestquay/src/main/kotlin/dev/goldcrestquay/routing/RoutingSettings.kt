package dev.goldcrestquay.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The parameters of target selection and retries.
 *
 * @property reportDecay the time constant with which the weight of a load report decays.
 * @property serviceTimeMemory the time constant with which the weight of an answered call in a target's mean service time decays.
 * @property priorCalls the weight of the service's mean in a target's mean service time, in calls.
 * @property slowFactor the multiple of the service's mean service time above which a target counts as slow.
 * @property utilisationWeight the cost of a full target compared with an idle one, in service times.
 * @property initialServiceTime the service time assumed before the first answer.
 * @property ejectAfterFailures the number of consecutive failures after which a target is ejected.
 * @property firstEjection the duration of the first ejection; every consecutive ejection lasts twice as long.
 * @property longestEjection the maximum duration of an ejection.
 * @property minimumHealthyShare the share of targets that are not ejected below which ejection is ignored.
 * @property maximumWait the expected wait for a slot beyond which a call is refused as not run, whatever its service time.
 * @property maximumWaitServiceTimes the same limit in service times; the larger of the two applies.
 * @property drainHold how long a target that refused a call because it is draining gets no calls.
 * @property attempts the maximum number of attempts of one call.
 * @property retryShare the retries earned by each call.
 * @property retryReserve the maximum number of retries that can be saved up.
 * @property networkWeight the weight of the round trip to a target's data centre in its score.
 */
public data class RoutingSettings(
    val reportDecay: Duration = 60.milliseconds,
    val serviceTimeMemory: Duration = 1.seconds,
    val priorCalls: Double = 4.0,
    val slowFactor: Double = 1.6,
    val utilisationWeight: Double = 0.3,
    val initialServiceTime: Duration = 10.milliseconds,
    val ejectAfterFailures: Int = 3,
    val firstEjection: Duration = 1.seconds,
    val longestEjection: Duration = 30.seconds,
    val minimumHealthyShare: Double = 0.5,
    val maximumWait: Duration = 100.milliseconds,
    val maximumWaitServiceTimes: Double = 10.0,
    val drainHold: Duration = 5.seconds,
    val attempts: Int = 3,
    val retryShare: Double = 0.08,
    val retryReserve: Double = 10.0,
    val networkWeight: Double = 1.0,
)
