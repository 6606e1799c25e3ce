package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.Target
import dev.goldcrestquay.link.Attempt

/** A decision about a call, for metrics and spans. */
public sealed interface RoutingEvent {
    /** The service of the call. */
    public val service: String

    /** An attempt was sent to [target], where it is expected to wait [expectedWait] milliseconds for a slot. */
    public data class Sent(
        override val service: String,
        val target: Target,
        val attempt: Attempt,
        val expectedWait: Double,
    ) : RoutingEvent

    /** The call is retried after an attempt at [target]. */
    public data class Retried(
        override val service: String,
        val target: Target,
    ) : RoutingEvent

    /** An attempt ended at [target] after [milliseconds]; [route] is the index of the call's route or [NO_ROUTE]. */
    public data class Ended(
        override val service: String,
        val target: Target,
        val route: Int,
        val failed: Boolean,
        val milliseconds: Double,
    ) : RoutingEvent

    /** The call was refused by the router. */
    public data class Refused(
        override val service: String,
        val code: ResultCode,
    ) : RoutingEvent
}
