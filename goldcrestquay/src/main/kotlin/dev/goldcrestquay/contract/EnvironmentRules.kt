package dev.goldcrestquay.contract

import com.github.michaelbull.result.Result
import java.time.Instant
import java.time.format.DateTimeParseException

/** Reads an environment document, or lists every fault with its number and JSON path. */
public fun readEnvironment(text: String): Result<Environment, List<Problem>> =
    JsonDocument.read(text, Environment.serializer()) { environment -> environment.problems() }

/** Lists the broken rules of this document; empty when it may take effect. */
public fun Environment.problems(): List<Problem> = EnvironmentRules(this).check()

/** Collects faults while the rules of a document are checked. */
public class ProblemList {
    private val found = mutableListOf<Problem>()

    /** The faults found so far. */
    public val problems: List<Problem> get() = found

    /** Adds a fault unless [condition] holds. */
    public fun require(
        condition: Boolean,
        code: ResultCode,
        path: String,
        detail: () -> String,
    ) {
        if (!condition) found += Problem(code, path, detail())
    }

    /** Checks that [value] is within [bounds]. */
    public fun <N : Comparable<N>> requireInRange(
        value: N,
        bounds: ClosedRange<N>,
        path: String,
    ) {
        require(value in bounds, ResultCode.OUT_OF_BOUNDS, path) { "$value is not between ${bounds.start} and ${bounds.endInclusive}" }
    }

    /** Checks that [value] is a usable name. */
    public fun requireName(
        value: String,
        path: String,
    ) {
        require(NAME.matches(value), ResultCode.BAD_NAME, path) { "'$value' is not a name" }
    }

    /** Checks that [value] is an IP number and a port. */
    public fun requireAddress(
        value: String,
        path: String,
    ) {
        require(ADDRESS.matches(value), ResultCode.BAD_ADDRESS, path) { "'$value' is not an IP number and port" }
    }

    /** Checks that no name of [names] repeats; [path] gives the place of the name with an index. */
    public fun requireUnique(
        names: List<String>,
        path: (Int) -> String,
    ) {
        val seen = mutableSetOf<String>()
        names.forEachIndexed { index, name ->
            require(seen.add(name), ResultCode.DUPLICATE_NAME, path(index)) { "'$name' is already used" }
        }
    }

    private companion object {
        val NAME = Regex("[A-Za-z0-9][A-Za-z0-9.\\-]{0,62}")
        val ADDRESS = Regex("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):\\d{1,5}")
    }
}

private class EnvironmentRules(
    private val environment: Environment,
) {
    private val list = ProblemList()
    private val dataCentres = environment.regions.flatMap { it.dataCentres }.map { it.name }

    fun check(): List<Problem> {
        list.requireName(environment.name, "$.name")
        list.requireInRange(environment.measuring.probesPerSecond, PROBES_PER_SECOND, "$.measuring.probesPerSecond")
        checkRegions()
        list.requireUnique(environment.services.map { it.name }) { "$.services[$it].name" }
        environment.services.forEachIndexed { index, service -> checkService(service, "$.services[$index]") }
        environment.dataCentresOut.forEachIndexed { index, name -> dataCentreExists(name, "$.dataCentresOut[$index]") }
        list.requireUnique(environment.moves.map { it.name }) { "$.moves[$it].name" }
        list.requireUnique(environment.moves.map { it.service }) { "$.moves[$it].service" }
        environment.moves.forEachIndexed { index, move -> checkMove(move, "$.moves[$index]") }
        return list.problems
    }

    private fun checkRegions() {
        list.requireUnique(environment.regions.map { it.name }) { "$.regions[$it].name" }
        list.requireUnique(dataCentres) { "$.regions[*].dataCentres[$it].name" }
        environment.regions.forEachIndexed { regionIndex, region ->
            list.requireName(region.name, "$.regions[$regionIndex].name")
            region.dataCentres.forEachIndexed { index, dataCentre ->
                val path = "$.regions[$regionIndex].dataCentres[$index]"
                list.requireName(dataCentre.name, "$path.name")
                list.requireInRange(dataCentre.oneWayMicroseconds, ONE_WAY_MICROSECONDS, "$path.oneWayMicroseconds")
            }
        }
    }

    private fun checkService(
        service: Service,
        path: String,
    ) {
        list.requireName(service.name, "$path.name")
        list.requireInRange(service.entryMinimum, ENTRY_MINIMUM, "$path.entryMinimum")
        list.requireInRange(service.callsPerSecond, CALLS_PER_SECOND, "$path.callsPerSecond")
        list.requireInRange(service.deadlineMilliseconds, DEADLINE_MILLISECONDS, "$path.deadlineMilliseconds")
        list.requireInRange(service.maximumBodyBytes, BODY_BYTES, "$path.maximumBodyBytes")
        list.requireUnique(service.targets.map { it.name }) { "$path.targets[$it].name" }
        list.requireUnique(service.targets.map { it.address }) { "$path.targets[$it].address" }
        service.targets.forEachIndexed { index, target -> checkTarget(target, "$path.targets[$index]") }
        service.routes.forEachIndexed { index, route -> checkRoute(route, "$path.routes[$index]") }
    }

    private fun checkTarget(
        target: Target,
        path: String,
    ) {
        list.requireName(target.name, "$path.name")
        list.requireName(target.version, "$path.version")
        list.requireAddress(target.address, "$path.address")
        dataCentreExists(target.dataCentre, "$path.dataCentre")
        list.requireInRange(target.slots, SLOTS, "$path.slots")
        list.requireInRange(target.connections, CONNECTIONS, "$path.connections")
        list.requireInRange(target.coldAllowance, 1..target.slots.coerceAtLeast(1), "$path.coldAllowance")
    }

    private fun checkRoute(
        route: Route,
        path: String,
    ) {
        list.require(route.pathPrefix.startsWith("/"), ResultCode.BAD_NAME, "$path.pathPrefix") { "a path starts with /" }
        route.deadlineMilliseconds?.let { list.requireInRange(it, DEADLINE_MILLISECONDS, "$path.deadlineMilliseconds") }
        route.maximumBodyBytes?.let { list.requireInRange(it, BODY_BYTES, "$path.maximumBodyBytes") }
    }

    private fun checkMove(
        move: Move,
        path: String,
    ) {
        list.requireName(move.name, "$path.name")
        val service = environment.service(move.service)
        list.require(service != null, ResultCode.DANGLING_REFERENCE, "$path.service") { "no service '${move.service}'" }
        val versions = service?.targets.orEmpty().map { it.version }
        versionExists(move.fromVersion, versions, "$path.fromVersion")
        versionExists(move.toVersion, versions, "$path.toVersion")
        list.require(move.fromVersion != move.toVersion, ResultCode.DUPLICATE_NAME, "$path.toVersion") { "a move needs two versions" }
        checkSteps(move, path)
        list.require(parseInstant(move.deadline) != null, ResultCode.BAD_INSTANT, "$path.deadline") { "'${move.deadline}'" }
        list.requireInRange(move.evidence.minimumCalls, MINIMUM_CALLS, "$path.evidence.minimumCalls")
        list.requireInRange(move.evidence.errorPercent, PERCENT, "$path.evidence.errorPercent")
        list.requireInRange(move.evidence.slowFactor, SLOW_FACTOR, "$path.evidence.slowFactor")
    }

    private fun checkSteps(
        move: Move,
        path: String,
    ) {
        val shares = move.steps.map { it.sharePercent }
        list.require(shares.lastOrNull() == 100.0, ResultCode.OUT_OF_BOUNDS, "$path.steps") { "the last step's share is 100" }
        list.require(shares == shares.sorted(), ResultCode.OUT_OF_BOUNDS, "$path.steps") { "shares rise from step to step" }
        move.steps.forEachIndexed { index, step ->
            list.requireInRange(step.sharePercent, STEP_PERCENT, "$path.steps[$index].sharePercent")
            list.requireInRange(step.holdMilliseconds, HOLD_MILLISECONDS, "$path.steps[$index].holdMilliseconds")
        }
    }

    private fun versionExists(
        version: String,
        versions: List<String>,
        path: String,
    ) = list.require(version in versions, ResultCode.DANGLING_REFERENCE, path) { "no target runs version '$version'" }

    private fun dataCentreExists(
        name: String,
        path: String,
    ) = list.require(name in dataCentres, ResultCode.DANGLING_REFERENCE, path) { "no data centre '$name'" }

    private companion object {
        val PROBES_PER_SECOND = 0.01..100.0
        val ONE_WAY_MICROSECONDS = 0L..1_000_000L
        val ENTRY_MINIMUM = 1..64
        val CALLS_PER_SECOND = 1..10_000_000
        val DEADLINE_MILLISECONDS = 1L..600_000L
        val BODY_BYTES = 0L..1_073_741_824L
        val SLOTS = 1..4096
        val CONNECTIONS = 1..100_000
        val MINIMUM_CALLS = 1..1_000_000
        val PERCENT = 0.0..100.0
        val STEP_PERCENT = 0.01..100.0
        val SLOW_FACTOR = 1.05..100.0
        val HOLD_MILLISECONDS = 0L..86_400_000L
    }
}

/** Reads an ISO 8601 instant, or null when [text] is none. */
public fun parseInstant(text: String): Instant? =
    try {
        Instant.parse(text)
    } catch (_: DateTimeParseException) {
        null
    }
