package dev.goldcrestquay.http.edge

import dev.goldcrestquay.routing.RelayTerms
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds

/** The values of the relay header that an earlier release wrote: the terms, an answer, and a refusal by the peer. */
class EarlierRelayTest {
    @Test
    fun `relay headers of an earlier release are read, and written alike`() {
        val (terms, answered, notAnswered) = checkNotNull(javaClass.getResource("/releases/relay-81aa787.txt")).readText().lines()
        PeerRelay.parse(terms) shouldBe RelayTerms("vm-1", 400.milliseconds, 2)
        PeerRelay.format(RelayTerms("vm-1", 400.milliseconds, 2)) shouldBe terms
        PeerRelay.ANSWERED shouldBe answered
        PeerRelay.NOT_ANSWERED shouldBe notAnswered
    }
}
