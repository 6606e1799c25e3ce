package dev.goldcrestquay.standins

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration.Companion.seconds

class DaemonDrainTest {
    private val fixture = EntryVmFixture()

    @AfterEach
    fun close() = fixture.close()

    /** Guards against callers that go on calling and so keep a leaving entry VM from stopping, which cuts off their calls in the end. */
    @Test
    fun `a leaving entry VM stops although callers go on, and cuts off no call that runs`(): Unit =
        runBlocking {
            fixture.start(EntryVmFixture.documentFor(fixture.target(TargetBehaviour(meanMilliseconds = 100.0))))
            val responses = ConcurrentLinkedQueue<CallerResponse>()
            var isDraining = true
            coroutineScope {
                repeat(CALLERS) {
                    launch(Dispatchers.IO) {
                        while (isDraining) responses += fixture.call("/desk/x")
                    }
                }
                try {
                    withTimeout(LONGEST_DRAIN) { fixture.daemon.drain() }
                } finally {
                    isDraining = false
                }
            }
            val answered = responses.count { it.status == 200 }
            withClue(responses.groupingBy { it }.eachCount()) {
                fixture.runs.size shouldBe answered
                responses.map { it.code } shouldContain LEAVING
                responses.map { it.status } shouldNotContain 502
            }
        }

    private companion object {
        const val CALLERS = 8
        const val LEAVING = 2015

        /** The time for which addresses are used, which is 15 s, and that of the calls in flight. */
        val LONGEST_DRAIN = 25.seconds
    }
}
