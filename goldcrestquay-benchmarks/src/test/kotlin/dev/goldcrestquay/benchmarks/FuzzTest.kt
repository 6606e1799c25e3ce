package dev.goldcrestquay.benchmarks

import dev.goldcrestquay.benchmarks.fleet.fuzzCalls
import dev.goldcrestquay.benchmarks.fleet.fuzzState
import org.junit.jupiter.api.Test

class FuzzTest {
    @Test
    fun `no history of calls runs one twice, lies about a refusal or misleads an answer`() {
        fuzzCalls(seed = 11, histories = 1000)
    }

    @Test
    fun `no history of the fleet reverts, splits a lease or keeps members apart`() {
        fuzzState(seed = 12, histories = 60)
    }
}
