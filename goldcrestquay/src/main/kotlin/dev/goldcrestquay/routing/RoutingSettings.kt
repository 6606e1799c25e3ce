package dev.goldcrestquay.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The constants of the routing decisions.
 *
 * @property reportDecay how long a load report takes to lose most of its weight.
 * @property serviceTimeMemory how long an answered call weighs in a target's service time.
 * @property priorCalls the calls' worth of trust in the service's mean while a target has few of its own.
 * @property slowFactor how many times the service's mean a target must take before it counts as slow.
 * @property utilisationWeight the share of a service time that a full target costs against an idle one.
 * @property initialServiceTime the service time assumed before the first answer.
 * @property ejectAfterFailures the failures in a row that take a target out of choice.
 * @property firstEjection how long the first ejection lasts; each one in a row doubles it.
 * @property longestEjection the bound of that doubling.
 * @property minimumHealthyShare the share of targets below which ejection is ignored.
 * @property maximumWait the expected wait beyond which a call is refused as not run, whatever its service time.
 * @property maximumWaitServiceTimes the same bound in service times; the larger of the two counts.
 * @property drainHold how long a target that refused as draining is left alone.
 * @property attempts the sendings one call may use.
 * @property retryShare the retries allowed for each call.
 * @property retryReserve the most retries that can be saved up.
 * @property localDataCentreBonus the share of a cross-data-centre round trip that counts in the score.
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
    val localDataCentreBonus: Double = 1.0,
)
