package dev.goldcrestquay.zone

import dev.goldcrestquay.fleetMember
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.random.Random

class CallerAddressesTest {
    private fun member(
        number: Int,
        dataCentre: String,
        accepting: Boolean = true,
    ) = fleetMember(number).copy(dataCentre = dataCentre, accepting = accepting)

    @Test
    fun `a caller gets the entry VMs of its data centre while two of them accept callers`() {
        val others = listOf(member(1, "south"), member(2, "south"), member(3, "west", accepting = false))
        listOf(
            listOf(member(4, "north"), member(5, "north")) to setOf(4, 5),
            listOf(member(4, "north"), member(5, "north"), member(6, "north", accepting = false)) to setOf(4, 5),
            listOf(member(4, "north"), member(5, "north", accepting = false)) to setOf(1, 2, 4),
            emptyList<Nothing>() to setOf(1, 2),
        ).forEach { (nearby, expected) ->
            val addresses = callerAddresses(others + nearby, "north", 64, Random(1))
            withClue(nearby) { addresses.toSet() shouldBe expected.map { fleetMember(it).callerAddress }.toSet() }
        }
    }

    @Test
    fun `a caller that names no data centre, or an unknown one, gets all`() {
        val members = (1..4).map { member(it, if (it % 2 == 0) "north" else "south") }
        listOf(null, "", "nowhere").forEach { callerAddresses(members, it, 64, Random(1)) shouldHaveSize 4 }
    }

    @Test
    fun `at most the given number of addresses is named, drawn at random`() {
        val members = (1..200).map { member(it, "north") }
        val draws = List(20) { callerAddresses(members, "north", 64, Random(it)) }
        draws.forEach { it shouldHaveSize 64 }
        draws.flatten().toSet() shouldHaveSize 200
    }
}
