package dev.goldcrestquay.machine

import dev.goldcrestquay.link.StoreLink
import dev.goldcrestquay.link.StoreResult
import dev.goldcrestquay.planRecord
import io.kotest.assertions.withClue
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class RecordRefresherTest {
    private var reads = 0
    private var failure: suspend () -> StoreResult<Nothing>? = { null }
    private val store = FakeStore().apply { write(Feed.OPERATOR) { planRecord(1, it) } }

    /** A refresher of records that were loaded, which the store confirmed just now. */
    private suspend fun TestScope.refresher(): RecordRefresher {
        val clock = { currentTime.milliseconds }
        val state = SharedState(clock)
        val link = store.link("vm-1")
        val counted =
            StoreLink(link.newest, { feed, from, wait ->
                reads++
                failure() ?: link.read(feed, from, wait)
            }, link.writeVerdict)
        val reader = StoreReader(counted, state, clock) { }
        reader.load()
        val errors = CoroutineExceptionHandler { _, _ -> }
        val scope = CoroutineScope(StandardTestDispatcher(testScheduler) + SupervisorJob() + errors)
        return RecordRefresher(state, reader, clock, scope) { }
    }

    @Test
    fun `young records are not read again, and all requests that find old ones share a read of each feed`() =
        runTest {
            val refresher = refresher()
            delay(1.seconds)
            refresher.refreshIfOld()
            reads shouldBe 0
            delay(1.seconds)
            List(50) { async { refresher.refreshIfOld() } }.awaitAll()
            reads shouldBe 2
        }

    @Test
    fun `requests go on soon, and the store is tried rarely, while it does not answer`() =
        runTest {
            val failures: Map<String, suspend () -> StoreResult<Nothing>?> =
                mapOf(
                    "refused" to { StoreResult.Unavailable("refused") },
                    "silent" to { awaitCancellation() },
                    "unexpected error" to { error("odd") },
                )
            for ((name, how) in failures) {
                failure = { null }
                val refresher = refresher()
                reads = 0
                failure = how
                delay(2.seconds)
                withClue(name) {
                    repeat(1000) {
                        val startedAt = currentTime
                        refresher.refreshIfOld()
                        (currentTime - startedAt) shouldBeLessThan 301
                        delay(10)
                    }
                    reads shouldBeLessThan 5
                }
            }
        }
}
