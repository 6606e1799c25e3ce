package dev.goldcrestquay.benchmarks.policy

import dev.goldcrestquay.routing.RoutingSettings
import dev.goldcrestquay.routing.TargetPolicies
import dev.goldcrestquay.routing.TargetPolicy
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlin.time.Duration

/** One cell of the policy table. */
@Serializable
internal data class PolicyCell(
    val deployment: String,
    val situation: String,
    val policy: String,
    val p50: Double,
    val p99: Double,
    val p999: Double,
    val refusedPercent: Double,
    val p99ToOracle: Double,
    val failingTargetPercent: Double,
    val mostCold: Int,
    val answeredPerCapacity: Double,
)

internal class PolicyRow(
    val name: String,
    val entries: Int,
    val settings: RoutingSettings,
    val policy: () -> TargetPolicy,
)

internal val SHADE = PolicyDeployment("shade", targets = 20, slots = 4, crossRoundTrip = 3.0)
internal val BOOKING_DESK = PolicyDeployment("booking-desk", targets = 30, slots = 2, crossRoundTrip = 1.0)

/** The number of entry VMs that the product's own placement gives either service. */
internal const val CHOSEN_ENTRIES = 3

private const val SPREAD_ENTRIES = 16

internal val SITUATIONS =
    listOf(
        Situation("load 50 %", { 0.50 }),
        Situation("load 70 %", { 0.70 }),
        Situation("load 85 %", { 0.85 }),
        Situation("load 95 %", { 0.95 }),
        Situation("2 slow targets, 50 %", { 0.50 }, slowdown = { target, now -> if (target < 2 && now >= 3000) 10.0 else 1.0 }),
        Situation("2 turn cold, 70 %", { 0.70 }, coldFrom = { if (it < 2) 3000.0 else null }),
        Situation("1 fails fast, 70 %", { 0.70 }, failsFast = { target, now -> target == 0 && now >= 3000 }),
        Situation("reports 500 ms late, 85 %", { 0.85 }, reportDelay = 500.0),
        Situation("3 lie about load, 85 %", { 0.85 }, lies = { it < 3 }),
        Situation("load steps x3 to 90 %", { if (it < 4000) 0.30 else 0.90 }),
        Situation("data centre gone, 55 %", { 0.55 }, gone = { target, now -> target % 3 == 2 && now >= 3000 }),
        Situation("load 150 %", { 1.5 }),
    )

/** Settings whose durations are stretched to the scheduler's scale. */
internal fun scaled(settings: RoutingSettings): RoutingSettings =
    settings.copy(
        reportDecay = settings.reportDecay * SCALE,
        serviceTimeMemory = settings.serviceTimeMemory * SCALE,
        initialServiceTime = settings.initialServiceTime * SCALE,
        firstEjection = settings.firstEjection * SCALE,
        longestEjection = settings.longestEjection * SCALE,
        maximumWait = settings.maximumWait * SCALE,
        drainHold = settings.drainHold * SCALE,
    )

internal fun rows(settings: RoutingSettings = RoutingSettings()): List<PolicyRow> {
    val plain = scaled(settings).copy(ejectAfterFailures = Int.MAX_VALUE, maximumWait = Duration.INFINITE, attempts = 1)
    val own = scaled(settings)
    return listOf(
        PolicyRow("random", SPREAD_ENTRIES, plain) { TargetPolicies.random },
        PolicyRow("round robin", SPREAD_ENTRIES, plain) { TargetPolicies.roundRobin() },
        PolicyRow("least in flight", SPREAD_ENTRIES, plain) { TargetPolicies.leastInFlight },
        PolicyRow("two choices", SPREAD_ENTRIES, plain) { TargetPolicies.twoChoices },
        PolicyRow("goldcrestquay, 16 VMs", SPREAD_ENTRIES, own) { TargetPolicies.earliestAnswer(own) },
        PolicyRow("goldcrestquay, 8 VMs", 8, own) { TargetPolicies.earliestAnswer(own) },
        PolicyRow("goldcrestquay, 4 VMs", 4, own) { TargetPolicies.earliestAnswer(own) },
        PolicyRow("goldcrestquay, 3 VMs", CHOSEN_ENTRIES, own) { TargetPolicies.earliestAnswer(own) },
    )
}

internal fun cell(
    deployment: PolicyDeployment,
    situation: Situation,
    name: String,
    run: PolicyRun,
    oracleP99: Double,
): PolicyCell =
    PolicyCell(
        deployment = deployment.name,
        situation = situation.name,
        policy = name,
        p50 = run.percentile(0.5),
        p99 = run.percentile(0.99),
        p999 = run.percentile(0.999),
        refusedPercent = 100.0 * run.refused / run.calls.coerceAtLeast(1),
        p99ToOracle = run.percentile(0.99) / oracleP99,
        failingTargetPercent = 100.0 * run.attemptsAtFailing / run.attemptsWhileFailing.coerceAtLeast(1),
        mostCold = run.mostCold,
        answeredPerCapacity = run.answered / (deployment.capacity * (situation.duration - situation.warmUp) / 1000.0),
    )

/** Prints the table of policies: `policy --seed S [--json] [--only TEXT]`; the same seed gives the same table. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("policy")
    val seed by parser.option(ArgType.Int, "seed", "s", "The seed").default(1)
    val asJson by parser.option(ArgType.Boolean, "json", description = "Print JSON").default(false)
    val only by parser.option(ArgType.String, "only", description = "Only situations whose name holds this text").default("")
    val own by parser.option(ArgType.Boolean, "own", description = "Only this product's rows and the oracle").default(false)
    parser.parse(arguments)
    val jobs =
        listOf(SHADE, BOOKING_DESK).flatMap { deployment -> SITUATIONS.filter { only in it.name }.map { deployment to it } }
    val cells = jobs.parallelStream().map { (deployment, situation) -> column(deployment, situation, seed.toLong(), own) }.toList()
    if (asJson) println(Json.encodeToString(cells.flatten())) else cells.forEach(::printColumn)
}

private fun column(
    deployment: PolicyDeployment,
    situation: Situation,
    seed: Long,
    own: Boolean,
): List<PolicyCell> {
    val oracle = runOracle(deployment, situation, seed)
    val limit = oracle.percentile(0.99)
    val chosen = rows().filter { !own || it.name.startsWith("goldcrestquay") }
    val cells =
        chosen.map { row ->
            cell(deployment, situation, row.name, runPolicy(deployment, situation, row.entries, seed, row.settings, row.policy), limit)
        }
    return cells + cell(deployment, situation, "oracle", oracle, limit)
}

private fun printColumn(cells: List<PolicyCell>) {
    println("${cells.first().deployment}, ${cells.first().situation}")
    println(
        "  %-22s %8s %8s %8s %9s %9s %8s %6s %9s".format(
            "policy",
            "p50",
            "p99",
            "p99.9",
            "x oracle",
            "refused %",
            "bad %",
            "cold",
            "goodput",
        ),
    )
    cells.forEach {
        println(
            "  %-22s %8.1f %8.1f %8.1f %9.3f %9.2f %8.2f %6d %9.3f".format(
                it.policy,
                it.p50,
                it.p99,
                it.p999,
                it.p99ToOracle,
                it.refusedPercent,
                it.failingTargetPercent,
                it.mostCold,
                it.answeredPerCapacity,
            ),
        )
    }
}
