package dev.goldcrestquay.contract

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import dev.goldcrestquay.ENVIRONMENT_WITH_MOVE
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import java.io.File

class EnvironmentRulesTest {
    @Test
    fun `sample documents are valid`() {
        val targetCounts =
            listOf("qirmizi", "indus-tide").map { name ->
                val environment = readEnvironment(File("../samples/$name.json").readText()).getOrThrow { AssertionError(it.toString()) }
                environment.services.map { it.name to it.targets.size }
            }
        targetCounts shouldBe listOf(listOf("shade" to 20, "survey" to 6), listOf("booking-desk" to 30, "intake-yard" to 6))
    }

    @Test
    fun `each problem has its code and path`() {
        val target = """{"name":"t","address":"10.0.0.1:80","dataCentre":"a","version":"1"}"""
        val badTarget = """{"name":"t","address":"host:80","dataCentre":"q","version":"1","slots":0}"""
        val regions = """[{"name":"n","dataCentres":[{"name":"a"}]}]"""
        val cases =
            listOf(
                "{" to listOf("1001 $"),
                """{"name":"x","shape":1}""" to listOf("1002 $.shape"),
                """{"services":[]}""" to listOf("1003 $.name"),
                """{"name":7}""" to listOf("1004 $.name"),
                """{"name":"x","dataCentresOut":["z"]}""" to listOf("1006 $.dataCentresOut[0]"),
                """{"name":"x","measuring":{"probesPerSecond":0}}""" to listOf("1007 $.measuring.probesPerSecond"),
                """{"name":"","regions":$regions}""" to listOf("1010 $.name"),
                """{"name":"x","regions":$regions,"services":[{"name":"s","targets":[$target,$target]}]}""" to
                    listOf("1005 $.services[0].targets[1].name", "1005 $.services[0].targets[1].address"),
                """{"name":"x","regions":$regions,"services":[{"name":"s","targets":[$badTarget]}]}""" to
                    listOf(
                        "1008 $.services[0].targets[0].address",
                        "1006 $.services[0].targets[0].dataCentre",
                        "1007 $.services[0].targets[0].slots",
                    ),
                """{"name":"x","moves":[{"name":"m","service":"s","fromVersion":"1","toVersion":"1","steps":[],"deadline":"soon"}]}""" to
                    listOf(
                        "1006 $.moves[0].service",
                        "1006 $.moves[0].fromVersion",
                        "1006 $.moves[0].toVersion",
                        "1005 $.moves[0].toVersion",
                        "1007 $.moves[0].steps",
                        "1009 $.moves[0].deadline",
                    ),
            )
        for ((text, expected) in cases) {
            withClue(text) { readEnvironment(text).getError()?.map { "${it.code.number} ${it.path}" } shouldBe expected }
        }
    }

    @Test
    fun `a document survives encoding and decoding`() {
        val written = JsonDocument.write(ENVIRONMENT_WITH_MOVE, Environment.serializer())
        readEnvironment(written).getOrThrow { AssertionError(it.toString()) } shouldBe ENVIRONMENT_WITH_MOVE
    }

    @Test
    fun `the rules of a call come from the longest matching route`() {
        val service =
            Service(
                "s",
                emptyList(),
                listOf(Route(pathPrefix = "/"), Route("POST", "/search", idempotent = true, deadlineMilliseconds = 50)),
            )
        val cases =
            listOf(
                ("POST" to "/search/x") to CallRules(true, 50, 8_388_608),
                ("POST" to "/book") to CallRules(false, 2000, 8_388_608),
                ("GET" to "/search") to CallRules(true, 2000, 8_388_608),
            )
        cases.map { (call, _) -> service.rulesFor(call.first, call.second) } shouldBe cases.map { it.second }
    }
}
