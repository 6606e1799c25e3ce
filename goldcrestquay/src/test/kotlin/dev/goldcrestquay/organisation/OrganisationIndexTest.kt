package dev.goldcrestquay.organisation

import dev.goldcrestquay.contract.PlannedOrganisation
import dev.goldcrestquay.plannedOrganisation
import dev.goldcrestquay.routePlan
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

class OrganisationIndexTest {
    private fun index(vararg organisations: PlannedOrganisation) =
        OrganisationIndex(routePlan(organisations = organisations.toList()), null)

    private fun OrganisationIndex.owner(key: String) = find(CallerKey.of(key))?.name

    @Test
    fun `a key identifies its organisation, and one that two of them have identifies neither`() {
        val index =
            index(plannedOrganisation("a", "1", "shared"), plannedOrganisation("b", "shared", "2"), plannedOrganisation("c", "shared", "3"))
        listOf("1" to "a", "2" to "b", "3" to "c", "shared" to null, "" to null, "a" to null).forEach { (key, owner) ->
            withClue(key) { index.owner(key) shouldBe owner }
        }
    }

    @Test
    fun `rows of one name are one organisation with the keys of all and the priority of the first`() {
        val index = index(plannedOrganisation("a", "1", "2", priority = 3), plannedOrganisation("a", "2", "4", priority = 1))
        listOf("1", "2", "4").forEach { index.find(CallerKey.of(it))?.priority shouldBe 3 }
    }

    @Test
    fun `a digest that can't be read identifies nobody`() {
        val index = index(PlannedOrganisation("a", listOf("", "zz", "+1".repeat(32), CallerKey.digestText("1").drop(1)), null))
        listOf("", "1").forEach { index.owner(it) shouldBe null }
    }

    @Test
    fun `neither keys nor digests show in a text`() {
        val digest = CallerKey.digestText("secret")
        digest shouldBe "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
        val texts =
            listOf(
                CallerKey.of("secret"),
                plannedOrganisation("a", "secret"),
                routePlan(organisations = listOf(plannedOrganisation("a", "secret"))),
            )
        texts.forEach { text -> listOf("secret", digest, digest.take(8)).forEach { text.toString().contains(it) shouldBe false } }
    }
}
