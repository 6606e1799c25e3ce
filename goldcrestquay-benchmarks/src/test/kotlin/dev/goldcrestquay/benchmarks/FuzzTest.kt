package dev.goldcrestquay.benchmarks

import dev.goldcrestquay.benchmarks.fleet.fuzzCalls
import dev.goldcrestquay.benchmarks.fleet.fuzzState
import org.junit.jupiter.api.Test

class FuzzTest {
    @Test
    fun `no call runs twice, and no attempt runs although reported as not run or gets another call's answer`() {
        fuzzCalls(seed = 11, histories = 1000)
    }

    @Test
    fun `generations never decrease, a lease has at most one holder, and entry VMs converge after faults`() {
        fuzzState(seed = 12, histories = 60)
    }
}
