package dev.goldcrestquay.machine

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.coroutines.resume

/** The event loop of one entry VM under virtual time; while it is paused, what is due waits, as in a process without processor time. */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
internal class PausableDispatcher(
    scheduler: TestCoroutineScheduler,
) : CoroutineDispatcher(),
    Delay {
    private val scheduled = StandardTestDispatcher(scheduler)
    private val waiting = ArrayDeque<Runnable>()

    /** Whether the event loop runs nothing. */
    var isPaused = false
        set(value) {
            field = value
            if (value) return
            val due = waiting.toList()
            waiting.clear()
            due.forEach { dispatch(EmptyCoroutineContext, it) }
        }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) = scheduled.dispatch(context) { if (isPaused) waiting += block else block.run() }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer = scheduled.invokeOnTimeout(timeMillis, { continuation.resume(Unit) }, continuation.context)
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle = scheduled.invokeOnTimeout(timeMillis, { dispatch(context, block) }, context)
}
