package dev.goldcrestquay.contract

import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import java.io.File

class ResultCodeTest {
    @Test
    fun `the documented table matches the code`() {
        val rows = File("../docs/RESULT-CODES.md").readLines().filter { it.startsWith("| ") && it[2].isDigit() }
        rows shouldBe
            ResultCode.entries.map { "| ${it.number} | ${it.name} | ${it.kind.name.lowercase()} | ${it.summary} | ${it.action} |" }
    }

    @Test
    fun `numbers are unique`() {
        ResultCode.entries
            .map { it.number }
            .toSet()
            .size shouldBe ResultCode.entries.size
    }
}
