package dev.goldcrestquay.contract

import dev.goldcrestquay.plannedRoute
import dev.goldcrestquay.routePlan
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

class RouteIndexTest {
    private val index =
        RouteIndex(routePlan(routes = listOf("/", "/a/", "/a/b/", "/c/").map { plannedRoute(prefix = it) }))

    @Test
    fun `the longest matching path prefix wins`() {
        listOf(
            "/a/b/x" to "/a/b/",
            "/a/b/" to "/a/b/",
            "/a/b" to "/a/",
            "/a/bc/d" to "/a/",
            "/ab/c" to "/",
            "/c/d/e/f" to "/c/",
            "/" to "/",
        ).forEach { (path, prefix) -> index.find("shop.example", path)?.pathPrefix shouldBe prefix }
    }

    @Test
    fun `no route matches another host or a path without a slash`() {
        index.find("other.example", "/a/") shouldBe null
        index.find("shop.example", "a") shouldBe null
    }
}
