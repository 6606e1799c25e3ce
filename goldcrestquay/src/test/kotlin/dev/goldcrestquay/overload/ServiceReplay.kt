package dev.goldcrestquay.overload

import dev.goldcrestquay.routing.LoadSample
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** One kind of request in a [ServiceReplay]; times in milliseconds. */
internal data class ReplayedKind(
    val name: String,
    val rank: RequestRank,
    val perSecond: Double,
    val work: Double,
    val objective: Double,
    val deadline: Double,
    val timeout: Double,
    val burst: Double = 1.0,
)

/** What the callers of one kind got, in requests. */
internal data class KindResult(
    var inObjective: Int = 0,
    var late: Int = 0,
    var cut: Int = 0,
    var refused: Int = 0,
) {
    val asked get() = inObjective + late + cut + refused
    val served get() = (inObjective + late).toDouble() / asked

    operator fun plus(other: KindResult) =
        KindResult(inObjective + other.inObjective, late + other.late, cut + other.cut, refused + other.refused)
}

/** The decision of one entry VM in a replay; [decide] returns null to send the request, or the delay after which the caller may return. */
internal class ReplayedDecision(
    val decide: (RoomRequest) -> Duration?,
    val recordUse: (RoomRequest, RoomUse, Duration) -> Unit = { _, _, _ -> },
)

/**
 * A burst at one service while half of its targets are away, from second 2 to 8 of 11, in virtual time.
 *
 * Targets have 3 slots and a queue of 6, reject beyond, take 1.7 times as long with all slots taken, and are five times slower for three in
 * ten of their spells of 150 ms. Each entry VM sees its part of the callers, probes four targets at random and sends a request to at
 * most three. A refused caller comes back once, at another entry VM.
 */
internal class ServiceReplay(
    private val kinds: List<ReplayedKind>,
    private val seed: Int,
) {
    private class Caller(
        val kind: ReplayedKind,
        val startedAt: Double,
        val isReturned: Boolean = false,
    )

    private class Target(
        val seed: Int,
    ) {
        var isAway = false
        var running = 0
        val queue = ArrayDeque<() -> Unit>()

        fun slowdown(now: Double) = if (Random(seed * 100_003 + (now / SPELL).toInt()).nextDouble() < 0.3) 5.0 else 1.0
    }

    private val random = Random(seed)
    private val steps = PriorityQueue<Triple<Double, Int, () -> Unit>>(compareBy({ it.first }, { it.second }))
    private var stepCount = 0
    private var now = 0.0
    private val targets = List(TARGETS) { Target(seed * 1000 + it) }
    private val results = kinds.associate { it.name to KindResult() }
    private lateinit var decisions: List<ReplayedDecision>
    val clock = { now.milliseconds }

    /** Plays the load against the [decisions] of the entry VMs, which exchange what they know by [exchange] every 300 ms. */
    fun run(
        decisions: List<ReplayedDecision>,
        exchange: () -> Unit = {},
    ): Map<String, KindResult> {
        this.decisions = decisions
        kinds.forEach { scheduleArrival(it) }
        at(BURST_FROM) { targets.take(TARGETS / 2).forEach { it.isAway = true } }
        at(BURST_UNTIL) { targets.forEach { it.isAway = false } }
        for (time in 0 until END.toInt() step 300) at(time.toDouble(), exchange)
        while (steps.isNotEmpty()) {
            val (time, _, run) = steps.poll()
            now = time
            run()
        }
        return results
    }

    private fun at(
        time: Double,
        run: () -> Unit,
    ) {
        steps += Triple(time, stepCount++, run)
    }

    private fun scheduleArrival(kind: ReplayedKind) {
        val rate = kind.perSecond * if (now in BURST_FROM..BURST_UNTIL) kind.burst else 1.0
        val next = now - ln(1.0 - random.nextDouble()) * 1000 / rate
        if (next > END) return
        at(next) {
            place(Caller(kind, now), decisions.random(random), now, emptySet())
            scheduleArrival(kind)
        }
    }

    private fun place(
        caller: Caller,
        vm: ReplayedDecision,
        arrivedAt: Double,
        tried: Set<Target>,
    ) {
        val probed = targets.filter { !it.isAway && it !in tried }.shuffled(random).take(4)
        val (target, sample) =
            probed
                .map { it to LoadSample(it.running, it.queue.size, SLOTS, it.slowdown(now), true) }
                .minBy { it.second.expectedFactor() }
        at(now + 1) {
            val kind = caller.kind
            val endsAt = minOf(arrivedAt + kind.timeout, caller.startedAt + kind.deadline)
            val request =
                RoomRequest(
                    service = "service",
                    route = kind.name,
                    rank = kind.rank,
                    isFirstAttempt = tried.isEmpty(),
                    isReturned = caller.isReturned,
                    expected = (kind.work * sample.expectedFactor()).milliseconds,
                    work = kind.work.milliseconds,
                    excess = sample.excess,
                    objectiveLeft = (caller.startedAt + kind.objective - now).milliseconds,
                    timeLeft = (endsAt - now).milliseconds,
                    callerTimeLeft = (caller.startedAt + kind.deadline - now).milliseconds,
                )
            val retryAfter = vm.decide(request)
            if (retryAfter != null) refuse(caller, retryAfter) else send(caller, request, target, vm, arrivedAt, tried + target, endsAt)
        }
    }

    private fun send(
        caller: Caller,
        request: RoomRequest,
        target: Target,
        vm: ReplayedDecision,
        arrivedAt: Double,
        tried: Set<Target>,
        endsAt: Double,
    ) {
        val result = results.getValue(caller.kind.name)
        val sentAt = now
        var isOpen = true

        fun end(use: RoomUse) {
            isOpen = false
            vm.recordUse(request, use, (now - sentAt).milliseconds)
        }

        fun start() {
            target.running++
            val knee = if (target.running == SLOTS) 1.7 else 1.0
            at(finish(target, caller.kind.work * (0.7 + 0.6 * random.nextDouble()) * knee)) {
                target.running--
                target.queue.removeFirstOrNull()?.invoke()
                if (!isOpen) return@at
                end(RoomUse.ANSWERED)
                if (now - caller.startedAt <= caller.kind.objective) result.inObjective++ else result.late++
            }
        }
        if (target.running == SLOTS && target.queue.size == QUEUE) {
            end(RoomUse.REJECTED)
            return if (tried.size == ATTEMPTS) refuse(caller, 60.milliseconds) else place(caller, vm, arrivedAt, tried)
        }
        at(endsAt) {
            if (!isOpen) return@at
            end(RoomUse.CUT)
            result.cut++
        }
        if (target.running < SLOTS) return start()
        target.queue += { if (isOpen) start() else target.queue.removeFirstOrNull()?.invoke() }
    }

    /** The time at which [work] that begins now ends, at the pace of each spell that it passes through. */
    private fun finish(
        target: Target,
        work: Double,
    ): Double {
        var left = work
        var time = now
        while (true) {
            val slowdown = target.slowdown(time)
            val spellEnd = ((time / SPELL).toInt() + 1) * SPELL
            if (left * slowdown <= spellEnd - time) return time + left * slowdown
            left -= (spellEnd - time) / slowdown
            time = spellEnd
        }
    }

    private fun refuse(
        caller: Caller,
        retryAfter: Duration,
    ) {
        val third = (caller.startedAt + caller.kind.deadline - now) / 3
        if (caller.isReturned) {
            results.getValue(caller.kind.name).refused++
        } else {
            at(now + minOf(retryAfter.toDouble(DurationUnit.MILLISECONDS), third) + 2) {
                place(Caller(caller.kind, caller.startedAt, isReturned = true), decisions.random(random), now, emptySet())
            }
        }
    }

    private companion object {
        const val TARGETS = 60
        const val SLOTS = 3
        const val QUEUE = 6
        const val ATTEMPTS = 3
        const val SPELL = 150.0
        const val BURST_FROM = 2000.0
        const val BURST_UNTIL = 8000.0
        const val END = 11_000.0
    }
}
