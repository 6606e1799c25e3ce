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

/**
 * One cell of the policy table: one policy in one situation.
 *
 * @property p50 the median latency of answered calls, in milliseconds; [p99] and [p999] accordingly.
 * @property p99ToOracle [p99] divided by the oracle's in the same situation.
 * @property refusedPercent the percentage of calls that got no answer, whatever the reason.
 * @property failingTargetPercent the percentage of attempts sent to a failing target, among those sent while one fails.
 * @property mostCold the most calls that any cold target held at once.
 * @property answeredPerCapacity the answered calls as a share of the calls that all slots together can run.
 */
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

/** A policy to compare, with the number of entry VMs that share the load and their settings. */
internal class PolicyRow(
    val name: String,
    val entryCount: Int,
    val settings: RoutingSettings,
    val policy: () -> TargetPolicy,
)

internal val SHADE = PolicyDeployment("shade", targets = 20, slots = 4, crossDataCentreRoundTrip = 3.0)
internal val BOOKING_DESK = PolicyDeployment("booking-desk", targets = 30, slots = 2, crossDataCentreRoundTrip = 1.0)

/** The number of entry VMs that the default placement gives either service. */
internal const val PLACED_ENTRY_COUNT = 3

/** The number of entry VMs that share the load under the baseline policies. */
private const val BASELINE_ENTRY_COUNT = 16

/** When faults start, in model milliseconds; measurement starts earlier. */
private const val FAULT_START_MILLISECONDS = 3000.0

internal val SITUATIONS =
    listOf(
        Situation("load 50 %", { 0.50 }),
        Situation("load 70 %", { 0.70 }),
        Situation("load 85 %", { 0.85 }),
        Situation("load 95 %", { 0.95 }),
        Situation(
            "2 slow targets, 50 %",
            { 0.50 },
            slowdown = { target, now -> if (target < 2 && now >= FAULT_START_MILLISECONDS) 10.0 else 1.0 },
        ),
        Situation("2 turn cold, 70 %", { 0.70 }, turnsColdAt = { if (it < 2) FAULT_START_MILLISECONDS else null }),
        Situation("1 fails fast, 70 %", { 0.70 }, failsFast = { target, now -> target == 0 && now >= FAULT_START_MILLISECONDS }),
        Situation("reports 500 ms late, 85 %", { 0.85 }, reportDelay = 500.0),
        Situation("3 lie about load, 85 %", { 0.85 }, reportsNoLoad = { it < 3 }),
        Situation("load steps x3 to 90 %", { if (it < 4000) 0.30 else 0.90 }),
        Situation(
            "data centre gone, 55 %",
            { 0.55 },
            refusesConnections = { target, now -> target % 3 == 2 && now >= FAULT_START_MILLISECONDS },
        ),
        Situation("load 150 %", { 1.5 }),
    )

/** Returns [settings] with all durations multiplied by [TIME_SCALE], from model time to the test scheduler's time. */
internal fun scaledToScheduler(settings: RoutingSettings): RoutingSettings =
    settings.copy(
        reportDecay = settings.reportDecay * TIME_SCALE,
        serviceTimeMemory = settings.serviceTimeMemory * TIME_SCALE,
        initialServiceTime = settings.initialServiceTime * TIME_SCALE,
        firstEjection = settings.firstEjection * TIME_SCALE,
        longestEjection = settings.longestEjection * TIME_SCALE,
        maximumWait = settings.maximumWait * TIME_SCALE,
        drainHold = settings.drainHold * TIME_SCALE,
    )

/** Returns the policies to compare; the baseline policies run without ejection, admission control and retries. */
internal fun policyRows(settings: RoutingSettings = RoutingSettings()): List<PolicyRow> {
    val baselineSettings =
        scaledToScheduler(settings).copy(ejectAfterFailures = Int.MAX_VALUE, maximumWait = Duration.INFINITE, attempts = 1)
    val ownSettings = scaledToScheduler(settings)
    return listOf(
        PolicyRow("random", BASELINE_ENTRY_COUNT, baselineSettings) { TargetPolicies.random },
        PolicyRow("round robin", BASELINE_ENTRY_COUNT, baselineSettings) { TargetPolicies.roundRobin() },
        PolicyRow("least in flight", BASELINE_ENTRY_COUNT, baselineSettings) { TargetPolicies.leastInFlight },
        PolicyRow("two choices", BASELINE_ENTRY_COUNT, baselineSettings) { TargetPolicies.twoChoices },
        PolicyRow("goldcrestquay, 16 VMs", BASELINE_ENTRY_COUNT, ownSettings) { TargetPolicies.earliestAnswer(ownSettings) },
        PolicyRow("goldcrestquay, 8 VMs", 8, ownSettings) { TargetPolicies.earliestAnswer(ownSettings) },
        PolicyRow("goldcrestquay, 4 VMs", 4, ownSettings) { TargetPolicies.earliestAnswer(ownSettings) },
        PolicyRow("goldcrestquay, 3 VMs", PLACED_ENTRY_COUNT, ownSettings) { TargetPolicies.earliestAnswer(ownSettings) },
    )
}

/** Returns the table cell of [run]; [oracleP99] is the oracle's 99th percentile, in milliseconds. */
internal fun policyCell(
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
        refusedPercent = 100.0 * run.unanswered / run.calls.coerceAtLeast(1),
        p99ToOracle = run.percentile(0.99) / oracleP99,
        failingTargetPercent = 100.0 * run.attemptsAtFailingTarget / run.attemptsDuringFailure.coerceAtLeast(1),
        mostCold = run.mostAtColdTarget,
        answeredPerCapacity = run.answered / (deployment.capacity * (situation.duration - situation.measuredFrom) / 1000.0),
    )

/** Prints the table of policies: `policy [--seed S] [--json] [--only TEXT] [--own]`; the same seed gives the same table. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("policy")
    val seed by parser.option(ArgType.Int, "seed", "s", "The seed of the simulated calls").default(1)
    val asJson by parser.option(ArgType.Boolean, "json", description = "Print JSON").default(false)
    val only by parser.option(ArgType.String, "only", description = "Only situations whose name contains this text").default("")
    val ownOnly by parser.option(ArgType.Boolean, "own", description = "Only this product's rows and the oracle").default(false)
    parser.parse(arguments)
    val jobs =
        listOf(SHADE, BOOKING_DESK).flatMap { deployment -> SITUATIONS.filter { only in it.name }.map { deployment to it } }
    val cells =
        jobs.parallelStream().map { (deployment, situation) -> measureSituation(deployment, situation, seed.toLong(), ownOnly) }.toList()
    if (asJson) println(Json.encodeToString(cells.flatten())) else cells.forEach(::printSituation)
}

/** Runs the oracle and all policies, or only this product's if [ownOnly], in one situation. */
private fun measureSituation(
    deployment: PolicyDeployment,
    situation: Situation,
    seed: Long,
    ownOnly: Boolean,
): List<PolicyCell> {
    val oracle = runOracle(deployment, situation, seed)
    val oracleP99Milliseconds = oracle.percentile(0.99)
    val shownRows = policyRows().filter { !ownOnly || it.name.startsWith("goldcrestquay") }
    val cells =
        shownRows.map { row ->
            policyCell(
                deployment,
                situation,
                row.name,
                runPolicy(deployment, situation, row.entryCount, seed, row.settings, row.policy),
                oracleP99Milliseconds,
            )
        }
    return cells + policyCell(deployment, situation, "oracle", oracle, oracleP99Milliseconds)
}

private fun printSituation(cells: List<PolicyCell>) {
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
