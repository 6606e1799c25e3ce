package dev.goldcrestquay.zone

import dev.goldcrestquay.contract.Service
import dev.goldcrestquay.machine.MemberStatus
import dev.goldcrestquay.member
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

class PlacementTest {
    private val members = List(15) { member("vm-$it", "abc"[it % 3].toString()) }
    private val services = List(40) { Service("s$it", emptyList(), callsPerSecond = 1000) }

    @Test
    fun `a service is placed on as many entry VMs as its load needs, in at least three data centres`() {
        val cases = listOf(100 to 3, 4000 to 3, 20_000 to 5, 1_000_000 to 15)
        cases.map { (load, _) ->
            Placement.of(listOf(Service("s", emptyList(), callsPerSecond = load)), members).carriersOf("s").size
        } shouldBe
            cases.map { it.second }
        services
            .map {
                Placement
                    .of(services, members)
                    .carriersOf(it.name)
                    .map { vm -> vm.dataCentre }
                    .distinct()
                    .size
            }.toSet() shouldBe
            setOf(3)
    }

    @Test
    fun `no entry VM exceeds the load bound`() {
        val placement = Placement.of(services, members)
        val highestServiceCount = members.maxOf { placement.servicesOf(it.name).size }
        highestServiceCount shouldBeLessThanOrEqual 11
    }

    @Test
    fun `the loss of an entry VM moves few services that it did not carry`() {
        val before = Placement.of(services, members)
        val after = Placement.of(services, members - members[4])
        val lostServices = before.servicesOf("vm-4")
        val moved = services.map { it.name }.filter { name -> name !in lostServices && before.carriersOf(name) != after.carriersOf(name) }
        moved.size shouldBeLessThanOrEqual 8
    }

    @Test
    fun `address answers list the caller's data centre first and leave out suspect members`() {
        val carriers = listOf(member("x", "a"), member("y", "b"), member("z", "c", MemberStatus.SUSPECT))
        val answer = Placement.of(listOf(Service("s", emptyList())), carriers).addressAnswer("s", "b")
        answer.entries.map { it.entry } shouldBe listOf("y~1", "x~1")
    }
}
