package dev.goldcrestquay.contract

import kotlinx.serialization.Serializable

/**
 * The progress of a move.
 *
 * @property started the generation that added or last changed the move.
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
 * @property holder the identity of the entry VM that holds the lease.
 * @property offset the offset of the claim on the log; a later claim has a greater offset.
 */
@Serializable
public data class Lease(
    val holder: String,
    val offset: Long,
)

/**
 * Whether a change on the log took effect.
 *
 * @property generation the generation in force after the change was read.
 * @property problem the number of the [ResultCode] for which the change was refused, or null when it was accepted.
 */
@Serializable
public data class ChangeOutcome(
    val accepted: Boolean,
    val generation: Long,
    val problem: Int? = null,
)

/**
 * The replicated state that results from the records of the log up to and including [offset].
 *
 * The same records give the same state on every entry VM.
 *
 * @property generation the offset of the change that produced the document in force; 0 before the first change.
 * @property environment the document in force, or null before the first change.
 * @property moves the progress of each move, by name.
 * @property leases the latest lease of each service, removed services included, since a holder may not yet know of the removal.
 * @property changes the outcomes of the latest changes, by identifier.
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
    /** The state after the record at [recordOffset]; a record that was applied before changes nothing, and null only moves the offset. */
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
        if (change.base != generation) return withRefused(change, ResultCode.BASE_SUPERSEDED)
        val changed = environment.with(change)
        val problem = changed.problems().firstOrNull()
        if (problem != null) return withRefused(change, problem.code)
        val moveStates = changed.moves.associate { move -> move.name to moveStateAfterChange(move, recordOffset) }
        return copy(
            generation = recordOffset,
            environment = changed,
            moves = moveStates,
            changes = changesWith(change.id, ChangeOutcome(true, recordOffset)),
        )
    }

    /** A move that the change leaves as it was keeps its progress; any other starts anew. */
    private fun moveStateAfterChange(
        move: Move,
        recordOffset: Long,
    ): MoveState {
        val unchanged = environment?.moves?.firstOrNull { it.name == move.name } == move
        return moves[move.name].takeIf { unchanged } ?: MoveState(recordOffset)
    }

    private fun withRefused(
        change: EnvironmentChange,
        code: ResultCode,
    ): EnvironmentState = copy(changes = changesWith(change.id, ChangeOutcome(false, generation, code.number)))

    private fun changesWith(
        id: String,
        outcome: ChangeOutcome,
    ): Map<String, ChangeOutcome> =
        (changes + (id to outcome))
            .entries
            .toList()
            .takeLast(MAXIMUM_REMEMBERED_CHANGES)
            .associate { it.toPair() }

    /** A lease granted by one of the lost records may still be held, so each service counts as leased to an unknown holder. */
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
        val state = moveInProgress(verdict.move, verdict.started) ?: return this
        return copy(moves = moves + (verdict.move to state.copy(verdict = verdict)))
    }

    private fun afterAdvance(advance: MoveAdvance): EnvironmentState {
        val state = moveInProgress(advance.move, advance.started) ?: return this
        val steps =
            environment
                ?.moves
                ?.firstOrNull { it.name == advance.move }
                ?.steps
                .orEmpty()
        val isNext = advance.step == state.step + 1 && advance.step in steps.indices
        return if (isNext) copy(moves = moves + (advance.move to state.copy(step = advance.step))) else this
    }

    private fun moveInProgress(
        name: String,
        started: Long,
    ): MoveState? = moves[name]?.takeIf { it.started == started && it.verdict == null }

    private fun afterLease(
        recordOffset: Long,
        claim: LeaseClaim,
    ): EnvironmentState {
        val grantedServices = claim.replaces.filter { (service, replaced) -> (leases[service]?.offset ?: 0L) == replaced }
        return copy(leases = leases + grantedServices.mapValues { Lease(claim.holder, recordOffset) })
    }
}

/** The number of change outcomes kept in the state. */
private const val MAXIMUM_REMEMBERED_CHANGES = 32

private const val UNKNOWN_HOLDER = "unknown"

/** This document with [change] applied; null counts as an empty document. */
public fun Environment?.with(change: EnvironmentChange): Environment {
    val current = this ?: Environment(change.name.orEmpty())
    return current.copy(
        name = change.name ?: current.name,
        regions = change.regions ?: current.regions,
        services = current.services.withChanges(change.services) { it.name },
        dataCentresOut = change.dataCentresOut ?: current.dataCentresOut,
        moves = current.moves.withChanges(change.moves) { it.name },
        measuring = change.measuring ?: current.measuring,
    )
}

private fun <T : Any> List<T>.withChanges(
    changes: Map<String, T?>,
    name: (T) -> String,
): List<T> {
    val existingNames = map(name).toSet()
    val updated = mapNotNull { item -> if (name(item) in changes) changes[name(item)] else item }
    return updated + changes.filterKeys { it !in existingNames }.values.filterNotNull()
}

/** The smallest change that turns [from], the document of generation [base], into [to]. */
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
