package dev.goldcrestquay.organisation

import dev.goldcrestquay.ManualClock
import dev.goldcrestquay.routing.Admission
import dev.goldcrestquay.routing.AdmissionView
import dev.goldcrestquay.routing.admit
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class OrganisationSharesTest {
    private val clock = ManualClock()

    /** A service of [slots] with requests of 100 ms, behind entry VMs that each see a part of the requests. */
    private inner class Service(
        entryVmCount: Int,
        private val slots: Int,
        private val isShared: Boolean,
    ) {
        private val entryVms = List(entryVmCount) { OrganisationShares(clock) }
        private val ends = mutableListOf<Duration>()
        private val random = Random(5)
        val asked = HashMap<String, Int>()
        val served = HashMap<String, Int>()

        fun ask(organisation: String) {
            val now = clock()
            ends.removeAll { it <= now }
            val excess = (ends.size + 1 - slots).coerceAtLeast(0)
            val startsAt = if (excess == 0) now else ends.sorted()[excess - 1]
            val view = AdmissionView(startsAt - now + WORK, excess, OBJECTIVE, TIME_LIMIT, 1)
            val callerOrganisation = if (isShared) CallerOrganisation.Identified(organisation, null) else CallerOrganisation.Anonymous
            asked.merge(organisation, 1, Int::plus)
            if (entryVms.random(random).share("shop", callerOrganisation, view, admit(view)) !is Admission.Admitted) return
            ends += startsAt + WORK
            served.merge(organisation, 1, Int::plus)
        }

        fun rate(organisation: String): Double = (served[organisation] ?: 0).toDouble() / asked.getValue(organisation)

        val totalRate: Double get() = served.values.sum().toDouble() / asked.values.sum()

        /** The organisations that are served less than a quarter as often as all. */
        fun starved(): List<String> = asked.keys.filter { rate(it) < totalRate / 4 }
    }

    /** The large organisations ask at once and fill the queue, and the small ones come after them. */
    private fun flood(
        isShared: Boolean,
        entryVmCount: Int,
    ) = Service(entryVmCount, slots = 10, isShared).apply {
        val small = (1..10).map { "small-$it" }
        repeat(600) { round ->
            repeat(8) { (1..3).forEach { ask("large-$it") } }
            ask(small[round % small.size])
            clock.now += 100.milliseconds
        }
    }

    @Test
    fun `small organisations that always come after large ones are served`() {
        for (entryVmCount in listOf(1, 4)) {
            withClue("$entryVmCount entry VMs") {
                flood(isShared = false, entryVmCount).starved().size shouldBe 10
                val shared = flood(isShared = true, entryVmCount)
                withClue(
                    shared.asked.keys
                        .sorted()
                        .map { "$it ${shared.rate(it)}" },
                ) { shared.starved().shouldBeEmpty() }
            }
        }
    }

    private fun mixture(
        isShared: Boolean,
        load: Double,
        seed: Int,
    ) = Service(entryVmCount = 5, slots = 20, isShared).apply {
        val random = Random(seed)
        val names = (1..40).map { "small-$it" } + List(40) { "large-${it % 3}" }
        repeat(30_000) {
            if (random.nextDouble() < load * 0.2) ask(names.random(random))
            clock.now += 1.milliseconds
        }
    }

    @Test
    fun `in a random mixture no organisation is starved, and as many requests are served as without sharing`() {
        for (load in listOf(0.8, 1.5, 3.0)) {
            for (seed in 1..5) {
                val free = mixture(isShared = false, load, seed)
                val shared = mixture(isShared = true, load, seed)
                withClue("load $load, seed $seed: ${free.totalRate} and ${shared.totalRate}") {
                    shared.starved().shouldBeEmpty()
                    shared.totalRate shouldBeGreaterThanOrEqual free.totalRate * 0.97
                    if (load < 1) shared.served shouldBe free.served
                    (1..3).forEach { shared.rate("large-${it - 1}") shouldBeGreaterThanOrEqual shared.totalRate / 2 }
                }
            }
        }
    }

    private fun view(
        excess: Int,
        priority: Int = 1,
        expected: Duration = 200.milliseconds,
    ) = AdmissionView(expected, excess, OBJECTIVE, TIME_LIMIT, priority)

    private fun OrganisationShares.share(
        organisation: String,
        view: AdmissionView,
        decision: Admission,
    ) = share("shop", CallerOrganisation.Identified(organisation, null), view, decision)

    private val refused = Admission.Refused(300.milliseconds)

    @Test
    fun `a free slot is never refused, and without organisations the decision stands`() {
        val shares = OrganisationShares(clock)
        repeat(50) { shares.share("large", view(0), Admission.Admitted) shouldBe Admission.Admitted }
        repeat(3) { shares.share("small", view(5, expected = 6.seconds), refused) shouldBe refused }
        shares.share("large", view(0), Admission.Admitted) shouldBe Admission.Admitted
        (shares.share("large", view(1), Admission.Admitted) is Admission.Refused) shouldBe true
        for (callerOrganisation in listOf(CallerOrganisation.Unused, CallerOrganisation.Anonymous)) {
            shares.share("shop", callerOrganisation, view(1), Admission.Admitted) shouldBe Admission.Admitted
            shares.share("shop", callerOrganisation, view(9), refused) shouldBe refused
        }
    }

    @Test
    fun `a starved organisation joins a queue if half of its time suffices, and only those of its priority give way`() {
        val shares = OrganisationShares(clock)
        repeat(50) { shares.share("large", view(0), Admission.Admitted) }
        shares.share("small", view(5), refused) shouldBe refused
        shares.share("small", view(5, expected = 2.seconds), refused) shouldBe refused
        shares.share("large", view(1, priority = 0), Admission.Admitted) shouldBe Admission.Admitted
        shares.share("shop-2", CallerOrganisation.Identified("large", null), view(1), Admission.Admitted) shouldBe Admission.Admitted
        shares.share("small", view(5), refused) shouldBe Admission.Admitted
        clock.now += 11.seconds
        withClue("after the window") { shares.share("large", view(1), Admission.Admitted) shouldBe Admission.Admitted }
    }

    @Test
    fun `while requests are refused, an ample organisation stops queueing before the others do`() {
        val shares = OrganisationShares(clock)
        val long = view(1, expected = OBJECTIVE * 0.8)
        repeat(20) { shares.share("large", view(0), Admission.Admitted) }
        shares.share("other", view(0), Admission.Admitted)
        withClue("nobody is refused") { shares.share("large", long, Admission.Admitted) shouldBe Admission.Admitted }
        repeat(5) {
            shares.share("other", view(0), Admission.Admitted)
            shares.share("other", view(9, expected = 6.seconds), refused) shouldBe refused
        }
        (shares.share("large", long, Admission.Admitted) is Admission.Refused) shouldBe true
        shares.share("large", view(1, expected = OBJECTIVE * 0.6), Admission.Admitted) shouldBe Admission.Admitted
        shares.share("other", long, Admission.Admitted) shouldBe Admission.Admitted
    }

    private companion object {
        val WORK = 100.milliseconds
        val OBJECTIVE = 250.milliseconds
        val TIME_LIMIT = 3.seconds
    }
}
