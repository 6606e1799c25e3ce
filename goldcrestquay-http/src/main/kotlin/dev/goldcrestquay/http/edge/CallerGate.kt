package dev.goldcrestquay.http.edge

import dev.goldcrestquay.callers.BodyMemory
import dev.goldcrestquay.callers.CallerLimits
import dev.goldcrestquay.callers.CallerTable
import dev.goldcrestquay.callers.TurnAwayReason
import dev.goldcrestquay.contract.RequestLimits
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.machine.FleetEvent
import io.netty.channel.Channel
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServerRequest

/** Bounds what all callers together hold of this entry VM, and reports whom it turns away; confined to the event loop. */
internal class CallerGate(
    limits: CallerLimits,
    clock: Clock,
    private val report: (FleetEvent) -> Unit,
) {
    private val turnedAway = HashMap<TurnAwayReason, Int>()
    private val table =
        CallerTable<Channel>(limits, clock) { channel, reason ->
            count(reason)
            channel.close()
        }
    private val connections = CallerConnections(table)
    private val bodies = RequestBodyReader(BodyMemory(limits.bodyBytes, clock)) { count(TurnAwayReason.BODY_MEMORY) }

    /** Watches the [connection] of a caller, which was just opened. */
    fun watch(connection: HttpConnection) = connections.watch(connection)

    /** Begins to read the body of [request]. */
    fun read(request: HttpServerRequest) = bodies.Reading(request)

    /** Closes the connections of callers that exceed the time in [limits], and reports who was turned away since the last call. */
    fun sweep(limits: RequestLimits?) {
        if (limits != null) table.closeSlow(limits.headerTimeout, limits.idleTimeout)
        turnedAway.forEach { (reason, count) -> report(FleetEvent.CallersTurnedAway(reason.name, count)) }
        turnedAway.clear()
    }

    private fun count(reason: TurnAwayReason) {
        turnedAway.merge(reason, 1, Int::plus)
    }
}
