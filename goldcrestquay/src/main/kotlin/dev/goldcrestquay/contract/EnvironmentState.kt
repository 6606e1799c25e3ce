package dev.goldcrestquay.contract

import kotlinx.serialization.Serializable

/**
 * How far a move has come.
 *
 * @property started the generation that brought the move.
 * @property step the index of the step in force.
 * @property verdict how the move ended, or null while it is under way.
 */
@Serializable
public data class MoveState(
    val started: Long,
    val step: Int = 0,
    val verdict: Verdict? = null,
)

/**
 * The lease of a service.
 *
 * @property offset the offset of the claim; a later claim has a greater one.
 */
@Serializable
public data class Lease(
    val holder: String,
    val offset: Long,
)

/**
 * Why a change on the log did not take effect.
 *
 * @property generation the generation in force when it was read.
 */
@Serializable
public data class ChangeOutcome(
    val accepted: Boolean,
    val generation: Long,
    val problem: Int? = null,
)

/**
 * Everything agreed through the log, after the record at [offset].
 *
 * The same records give the same state on every reader.
 *
 * @property generation the offset of the change that gave the document in force; 0 before the first.
 * @property moves the progress of each move by name.
 * @property leases the latest lease of each service, removed services included, since a holder may not know of the removal.
 * @property changes the outcome of the latest changes by identifier.
 */
@Serializable
public data class EnvironmentState(
    val offset: Long = 0,
    val generation: Long = 0,
    val environment: Environment? = null,
    val moves: Map<String, MoveState> = emptyMap(),
    val leases: Map<String, Lease> = emptyMap(),
    val changes: Map<String, ChangeOutcome> = emptyMap(),
) {
    /** The state after the record at [recordOffset]; a record already taken in changes nothing. */
    public fun after(
        recordOffset: Long,
        record: LogRecord?,
    ): EnvironmentState {
        if (recordOffset <= offset) return this
        val next =
            when (record) {
                is EnvironmentChange -> afterChange(recordOffset, record)
                is Verdict -> afterVerdict(record)
                is MoveAdvance -> afterAdvance(record)
                is LeaseClaim -> afterLease(recordOffset, record)
                is Restart -> afterRestart(recordOffset, record)
                is Snapshot, is SnapshotNote, null -> this
            }
        return next.copy(offset = recordOffset)
    }

    private fun afterChange(
        recordOffset: Long,
        change: EnvironmentChange,
    ): EnvironmentState {
        if (change.id in changes) return this
        if (change.base != generation) return refuse(change, ResultCode.BASE_SUPERSEDED)
        val changed = environment.with(change)
        val problem = changed.problems().firstOrNull()
        if (problem != null) return refuse(change, problem.code)
        val kept = changed.moves.associate { move -> move.name to moveState(move, recordOffset) }
        return copy(
            generation = recordOffset,
            environment = changed,
            moves = kept,
            changes = remember(change.id, ChangeOutcome(true, recordOffset)),
        )
    }

    private fun moveState(
        move: Move,
        recordOffset: Long,
    ): MoveState {
        val unchanged = environment?.moves?.firstOrNull { it.name == move.name } == move
        return moves[move.name].takeIf { unchanged } ?: MoveState(recordOffset)
    }

    private fun refuse(
        change: EnvironmentChange,
        code: ResultCode,
    ): EnvironmentState = copy(changes = remember(change.id, ChangeOutcome(false, generation, code.number)))

    private fun remember(
        id: String,
        outcome: ChangeOutcome,
    ): Map<String, ChangeOutcome> =
        (changes + (id to outcome))
            .entries
            .toList()
            .takeLast(REMEMBERED_CHANGES)
            .associate { it.toPair() }

    /** A lease that the lost records gave may still be held, so each service counts as leased by an unknown holder. */
    private fun afterRestart(
        recordOffset: Long,
        restart: Restart,
    ): EnvironmentState {
        if (restart.environment.problems().isNotEmpty()) return this
        val moves = restart.environment.moves.associate { it.name to MoveState(recordOffset) }
        val leases = restart.environment.services.associate { it.name to Lease(UNKNOWN_HOLDER, recordOffset) }
        val changes = mapOf(restart.id to ChangeOutcome(true, recordOffset))
        return EnvironmentState(recordOffset, recordOffset, restart.environment, moves, leases, changes)
    }

    private fun afterVerdict(verdict: Verdict): EnvironmentState {
        val state = openMove(verdict.move, verdict.started) ?: return this
        return copy(moves = moves + (verdict.move to state.copy(verdict = verdict)))
    }

    private fun afterAdvance(advance: MoveAdvance): EnvironmentState {
        val state = openMove(advance.move, advance.started) ?: return this
        val steps =
            environment
                ?.moves
                ?.firstOrNull { it.name == advance.move }
                ?.steps
                .orEmpty()
        val isNext = advance.step == state.step + 1 && advance.step in steps.indices
        return if (isNext) copy(moves = moves + (advance.move to state.copy(step = advance.step))) else this
    }

    private fun openMove(
        name: String,
        started: Long,
    ): MoveState? = moves[name]?.takeIf { it.started == started && it.verdict == null }

    private fun afterLease(
        recordOffset: Long,
        claim: LeaseClaim,
    ): EnvironmentState {
        val won = claim.replaces.filter { (service, replaced) -> (leases[service]?.offset ?: 0L) == replaced }
        return copy(leases = leases + won.mapValues { Lease(claim.holder, recordOffset) })
    }
}

private const val REMEMBERED_CHANGES = 32
private const val UNKNOWN_HOLDER = "unknown"

/** This document with [change] applied; an absent document counts as empty. */
public fun Environment?.with(change: EnvironmentChange): Environment {
    val current = this ?: Environment(change.name.orEmpty())
    return current.copy(
        name = change.name ?: current.name,
        regions = change.regions ?: current.regions,
        services = current.services.replaced(change.services) { it.name },
        dataCentresOut = change.dataCentresOut ?: current.dataCentresOut,
        moves = current.moves.replaced(change.moves) { it.name },
        measuring = change.measuring ?: current.measuring,
    )
}

private fun <T : Any> List<T>.replaced(
    changes: Map<String, T?>,
    name: (T) -> String,
): List<T> {
    val known = map(name).toSet()
    val kept = mapNotNull { item -> if (name(item) in changes) changes[name(item)] else item }
    return kept + changes.filterKeys { it !in known }.values.filterNotNull()
}

/** The smallest change that turns [from] into [to], based on generation [base]. */
public fun changeBetween(
    id: String,
    base: Long,
    from: Environment?,
    to: Environment,
): EnvironmentChange =
    EnvironmentChange(
        id = id,
        base = base,
        name = to.name.takeIf { it != from?.name },
        regions = to.regions.takeIf { it != from?.regions },
        services = differences(from?.services.orEmpty(), to.services) { it.name },
        dataCentresOut = to.dataCentresOut.takeIf { it != from?.dataCentresOut.orEmpty() },
        moves = differences(from?.moves.orEmpty(), to.moves) { it.name },
        measuring = to.measuring.takeIf { it != from?.measuring },
    )

private fun <T : Any> differences(
    from: List<T>,
    to: List<T>,
    name: (T) -> String,
): Map<String, T?> {
    val before = from.associateBy(name)
    val after = to.associateBy(name)
    val changed: Map<String, T?> = after.filter { (key, value) -> before[key] != value }
    return changed + (before.keys - after.keys).associateWith { null }
}
