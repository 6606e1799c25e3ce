package dev.goldcrestquay.http.edge

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.machine.FleetEvent
import dev.goldcrestquay.routing.ForwardEvent
import dev.goldcrestquay.usage.UsageEvent
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration

/**
 * Logs each decision as one JSON line and updates the metrics, without blocking the event loop.
 *
 * Events pass through a bounded queue to a dedicated thread. That thread also loads the logging library, so that a starting
 * process can serve before it can log. Events that find the queue full are dropped; their number is logged with the next event.
 *
 * @property node the entry VM's name, written to every line.
 */
class DecisionLog(
    private val node: String,
    private val clock: Clock,
) {
    private class QueuedEvent(
        val at: Duration,
        val event: Any,
    )

    private val queue = ArrayBlockingQueue<QueuedEvent>(QUEUE_CAPACITY)
    private val dropped = AtomicLong()

    /** The metrics that the metrics endpoint serves; created at first use. */
    val metrics: Lazy<GatewayMetrics> = lazy { GatewayMetrics() }

    /** The callbacks by which the entry VM reports events to this log. */
    val reports = GatewayReports(request = ::enqueue, fleet = ::enqueue, lifecycle = ::enqueue, usage = ::enqueue)

    /** Starts the writer thread, which begins to write after [START_DELAY_MILLISECONDS]. */
    fun start() {
        thread(name = "decision-log", isDaemon = true) {
            Thread.sleep(START_DELAY_MILLISECONDS)
            val logger = LogManager.getLogger("decisions")
            while (true) {
                write(queue.take(), logger::info)
            }
        }
    }

    /** Waits for the writer to empty the queue, for at most [FLUSH_TIMEOUT_MILLISECONDS]. */
    fun flush() {
        val flushUntil = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MILLISECONDS)
        while (queue.isNotEmpty() && System.nanoTime() < flushUntil) Thread.onSpinWait()
    }

    private fun enqueue(event: Any) {
        if (!queue.offer(QueuedEvent(clock(), event))) dropped.incrementAndGet()
    }

    private fun write(
        queued: QueuedEvent,
        writeLine: (String) -> Unit,
    ) {
        val droppedCount = dropped.getAndSet(0)
        if (droppedCount > 0) writeLine(jsonLine(queued.at, "lines-dropped") { put("count", droppedCount) })
        when (val event = queued.event) {
            is ForwardEvent -> {
                metrics.value.observe(event)
                writeLine(jsonLine(queued.at, eventName(event)) { putDetails(event) })
            }
            is FleetEvent -> {
                metrics.value.observe(event)
                writeLine(jsonLine(queued.at, eventName(event)) { putDetails(event) })
            }
            is UsageEvent -> {
                metrics.value.observe(event)
                writeLine(jsonLine(queued.at, eventName(event)) { putDetails(event) })
            }
            else -> writeLine(jsonLine(queued.at, "lifecycle") { put("state", event.toString()) })
        }
    }

    private fun eventName(event: Any): String = event::class.simpleName.orEmpty()

    private fun jsonLine(
        at: Duration,
        event: String,
        details: JsonObjectBuilder.() -> Unit,
    ): String =
        buildJsonObject {
            put("uptime_ms", at.inWholeMilliseconds)
            put("node", node)
            put("event", event)
            details()
        }.toString()

    private fun JsonObjectBuilder.putDetails(event: ForwardEvent) {
        put("request", event.request)
        when (event) {
            is ForwardEvent.Sent -> {
                put("route", event.route)
                put("attempt", event.attempt)
                put("target", event.target.id)
                put("data_centre", event.target.dataCentre)
                put("service", event.target.service)
                put("version", event.target.version)
                put("factor", event.expectedFactor)
                put("probes", event.probes)
                put("plan", event.planVersion)
                put("facts_age_ms", event.factsAge.inWholeMilliseconds)
                put("left_ms", event.remaining.inWholeMilliseconds)
                event.organisation?.let { put("organisation", it) }
            }
            is ForwardEvent.Refused -> {
                put("route", event.route)
                put("best_target", event.target.id)
                put("factor", event.expectedFactor)
                put("probes", event.probes)
                put("expected_ms", event.view.expected.inWholeMilliseconds)
                put("excess", event.view.excess)
                put("objective_left_ms", event.view.objectiveLeft.inWholeMilliseconds)
                put("left_ms", event.view.timeLeft.inWholeMilliseconds)
                put("priority", event.view.priority)
                put("retry_after_ms", event.retryAfter.inWholeMilliseconds)
                event.room?.let {
                    put("reason", it.reason.name)
                    put("load_expected_ms", it.expected.inWholeMilliseconds)
                    put("share", it.share)
                    put("pressure", it.pressure)
                    put("margin", it.margin)
                }
                event.organisation?.let { put("organisation", it) }
            }
            is ForwardEvent.RequestLimitChanged -> {
                put("target", event.target.id)
                put("limit_per_second", event.limit)
            }
            is ForwardEvent.AttemptEnded -> {
                put("target", event.target.id)
                put("result", event.result)
                put("took_ms", event.took.inWholeMilliseconds)
                event.crashCount?.let {
                    put("fingerprint", it.fingerprint.toULong().toString(HEXADECIMAL_RADIX))
                    put("crashes", it.crashes)
                }
            }
            is ForwardEvent.SentTwice -> {
                put("route", event.route)
                put("elapsed_ms", event.elapsed.inWholeMilliseconds)
                put("usual_ms", event.usual?.inWholeMilliseconds)
            }
            is ForwardEvent.SentTwiceEnded -> {
                put("route", event.route)
                put("winner", event.winner)
            }
            is ForwardEvent.RelayReceived -> {
                put("from", event.from)
                put("elapsed_ms", event.elapsed.inWholeMilliseconds)
                put("attempts", event.attempts)
            }
            is ForwardEvent.Relayed -> {
                put("peer", event.peer)
                put("outcome", event.outcome)
                put("took_ms", event.took.inWholeMilliseconds)
            }
            is ForwardEvent.Ended -> {
                put("route", event.route)
                put("service", event.service)
                put("outcome", event.outcome)
                put("code", event.code?.number)
                put("took_ms", event.took.inWholeMilliseconds)
                put("late", event.late)
                event.organisation?.let { put("organisation", it) }
            }
        }
    }

    private fun JsonObjectBuilder.putDetails(event: FleetEvent) {
        when (event) {
            is FleetEvent.Loaded -> {
                put("feed", event.feed.name)
                put("records", event.records)
                put("end", event.end)
                put("ignored", event.ignored)
            }
            is FleetEvent.StoreRestored -> {
                put("epoch", event.epoch)
                put("previous_epoch", event.previous)
            }
            is FleetEvent.StoreFailed -> {
                put("feed", event.feed.name)
                put("reason", event.reason)
            }
            is FleetEvent.StoreReturned -> put("away_ms", event.away.inWholeMilliseconds)
            is FleetEvent.RecordDeferred -> {
                put("feed", event.feed.name)
                put("key", event.key)
                put("grace_ms", event.grace.inWholeMilliseconds)
            }
            is FleetEvent.FollowingChanged -> {
                put("reader", event.reader)
                put("facts_age_ms", event.factsAge.inWholeMilliseconds)
            }
            is FleetEvent.OldRecordsRefreshed -> {
                put("facts_age_ms", event.factsAge.inWholeMilliseconds)
                put("succeeded", event.succeeded)
                put("took_ms", event.took.inWholeMilliseconds)
            }
            is FleetEvent.PeerSilent -> put("peer", event.peer)
            is FleetEvent.StepFailed -> put("reason", event.reason)
            is FleetEvent.TargetLeaving -> put("target", event.target)
            is FleetEvent.TargetSilent -> {
                put("target", event.target)
                put("duration_ms", event.duration.inWholeMilliseconds)
            }
            is FleetEvent.NoticeUnreadable -> {
                put("target", event.target)
                put("text", event.text)
            }
            is FleetEvent.ReachChanged -> put("reaches_targets", event.reachesTargets)
            is FleetEvent.CallersTurnedAway -> {
                put("reason", event.reason)
                put("count", event.count)
            }
            is FleetEvent.EventLoopStalled -> put("late_ms", event.late.inWholeMilliseconds)
            is FleetEvent.FactsChanged -> {
                put("sequence", event.sequence)
                put("plan", event.planVersion)
                put("targets", event.targets)
                put("members", event.members)
                put("format_version", event.formatVersion)
            }
            is FleetEvent.AdmissionLevelChanged -> {
                put("service", event.service)
                put("openness", event.openness)
                put("pressure", event.pressure)
                put("arrivals", event.arrivals)
                putJsonObject("shares") { event.shares.forEach { (kind, share) -> put(kind, share) } }
            }
            is FleetEvent.RolloutStep -> {
                put("service", event.service)
                put("version", event.version)
                put("phase", event.phase)
                put("reason", event.reason)
            }
        }
    }

    private companion object {
        /** Holds one second of decisions at several times the usual load. */
        const val QUEUE_CAPACITY = 2048

        const val HEXADECIMAL_RADIX = 16
        const val FLUSH_TIMEOUT_MILLISECONDS = 50L

        /**
         * Loading the logging library takes a quarter of a second of processor time on a small machine; the delay keeps that
         * out of the time in which callers reconnect after a restart.
         */
        const val START_DELAY_MILLISECONDS = 4000L
    }
}
