package dev.goldcrestquay.spread

import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

/** The results of two attempts; one is null when the attempt was not made, or was cancelled because the other's result is final. */
internal class RaceResult<Result : Any>(
    val first: Result?,
    val second: Result?,
)

/**
 * Makes the [first] attempt, and the [second] beside it as soon as [awaitSecond] returns true; the first final result ends the race.
 *
 * A result that is not final waits for the other attempt if that has begun. A second attempt that was not made after all is awaited again. The caller must be confined to one thread.
 *
 * @param awaitSecond returns whether the second attempt is to be made; cancelled when the first ends before.
 * @param second returns null when the attempt was not made after all.
 * @param isFinal whether a result needs no other; called once for each result.
 * @param onFinal called before the other attempt is cancelled.
 */
internal suspend fun <Result : Any> race(
    first: suspend () -> Result,
    awaitSecond: suspend () -> Boolean,
    second: suspend () -> Result?,
    isFinal: (Result) -> Boolean,
    onFinal: () -> Unit,
): RaceResult<Result> =
    coroutineScope {
        val ended = Channel<Pair<Boolean, Result?>>(Channel.UNLIMITED)
        var isSecondUnderWay = false
        var firstResult: Result? = null
        var secondResult: Result? = null
        // Undispatched, since a coroutine that is cancelled before it starts would keep the connection that it was given.
        launch(start = CoroutineStart.UNDISPATCHED) { ended.trySend(true to first()) }
        launch(start = CoroutineStart.UNDISPATCHED) {
            while (awaitSecond()) {
                isSecondUnderWay = true
                val result = second()
                if (result == null) isSecondUnderWay = false
                ended.trySend(false to result)
                if (result != null) break
            }
        }
        while (true) {
            val (isFirst, result) = ended.receive()
            if (isFirst) {
                firstResult = result
            } else if (result != null) {
                secondResult = result
                isSecondUnderWay = false
            }
            val isDecided = result != null && isFinal(result)
            if (isDecided) onFinal()
            if (isDecided || (firstResult != null && !isSecondUnderWay)) break
        }
        coroutineContext.cancelChildren()
        RaceResult(firstResult, secondResult)
    }
