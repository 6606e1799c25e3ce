package dev.goldcrestquay.contract

import com.github.michaelbull.result.Result
import java.time.Instant
import java.time.format.DateTimeParseException

/** Parses and validates an environment document; the error lists every problem with its code and JSON path. */
public fun readEnvironment(text: String): Result<Environment, List<Problem>> =
    JsonDocument.read(text, Environment.serializer()) { environment -> environment.problems() }

/** Lists the rules that this document violates; empty when it is valid. */
public fun Environment.problems(): List<Problem> = EnvironmentValidator(this).validate()

/** Collects the problems found while a document is validated. */
public class ProblemList {
    private val collected = mutableListOf<Problem>()

    /** The problems found so far. */
    public val problems: List<Problem> get() = collected

    /** Adds a problem unless [condition] holds. */
    public fun require(
        condition: Boolean,
        code: ResultCode,
        path: String,
        detail: () -> String,
    ) {
        if (!condition) collected += Problem(code, path, detail())
    }

    /** Adds a problem unless [value] is within [bounds]. */
    public fun <N : Comparable<N>> requireInRange(
        value: N,
        bounds: ClosedRange<N>,
        path: String,
    ) {
        require(value in bounds, ResultCode.OUT_OF_BOUNDS, path) { "$value is not between ${bounds.start} and ${bounds.endInclusive}" }
    }

    /** Adds a problem unless [value] is a valid name: 1 to 63 letters, digits, dots and hyphens that start with a letter or digit. */
    public fun requireName(
        value: String,
        path: String,
    ) {
        require(NAME.matches(value), ResultCode.BAD_NAME, path) { "'$value' is not a valid name" }
    }

    /** Adds a problem unless [value] looks like an IP address and a port. */
    public fun requireAddress(
        value: String,
        path: String,
    ) {
        require(ADDRESS.matches(value), ResultCode.BAD_ADDRESS, path) { "'$value' is not an IP address and port" }
    }

    /** Adds a problem for each repeated name of [names]; [path] maps an index to the JSON path of that name. */
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

private class EnvironmentValidator(
    private val environment: Environment,
) {
    private val list = ProblemList()
    private val dataCentreNames = environment.regions.flatMap { it.dataCentres }.map { it.name }

    fun validate(): List<Problem> {
        list.requireName(environment.name, "$.name")
        list.requireInRange(environment.measuring.probesPerSecond, PROBES_PER_SECOND, "$.measuring.probesPerSecond")
        checkRegions()
        list.requireUnique(environment.services.map { it.name }) { "$.services[$it].name" }
        environment.services.forEachIndexed { index, service -> checkService(service, "$.services[$index]") }
        environment.dataCentresOut.forEachIndexed { index, name -> requireDataCentre(name, "$.dataCentresOut[$index]") }
        list.requireUnique(environment.moves.map { it.name }) { "$.moves[$it].name" }
        list.requireUnique(environment.moves.map { it.service }) { "$.moves[$it].service" }
        environment.moves.forEachIndexed { index, move -> checkMove(move, "$.moves[$index]") }
        return list.problems
    }

    private fun checkRegions() {
        list.requireUnique(environment.regions.map { it.name }) { "$.regions[$it].name" }
        list.requireUnique(dataCentreNames) { "$.regions[*].dataCentres[$it].name" }
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
        requireDataCentre(target.dataCentre, "$path.dataCentre")
        list.requireInRange(target.slots, SLOTS, "$path.slots")
        list.requireInRange(target.connections, CONNECTIONS, "$path.connections")
        list.requireInRange(target.coldAllowance, 1..target.slots.coerceAtLeast(1), "$path.coldAllowance")
    }

    private fun checkRoute(
        route: Route,
        path: String,
    ) {
        list.require(route.pathPrefix.startsWith("/"), ResultCode.BAD_NAME, "$path.pathPrefix") { "a path prefix starts with /" }
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
        requireVersion(move.fromVersion, versions, "$path.fromVersion")
        requireVersion(move.toVersion, versions, "$path.toVersion")
        list.require(move.fromVersion != move.toVersion, ResultCode.DUPLICATE_NAME, "$path.toVersion") { "the versions must differ" }
        checkSteps(move, path)
        list.require(parseInstant(move.deadline) != null, ResultCode.BAD_INSTANT, "$path.deadline") { "'${move.deadline}'" }
        list.requireInRange(move.evidence.minimumCalls, MINIMUM_CALLS, "$path.evidence.minimumCalls")
        list.requireInRange(move.evidence.errorPercent, ERROR_PERCENT, "$path.evidence.errorPercent")
        list.requireInRange(move.evidence.slowFactor, SLOW_FACTOR, "$path.evidence.slowFactor")
    }

    private fun checkSteps(
        move: Move,
        path: String,
    ) {
        val shares = move.steps.map { it.sharePercent }
        list.require(shares.lastOrNull() == 100.0, ResultCode.OUT_OF_BOUNDS, "$path.steps") { "the last step's share must be 100" }
        list.require(shares == shares.sorted(), ResultCode.OUT_OF_BOUNDS, "$path.steps") { "shares must not fall from step to step" }
        move.steps.forEachIndexed { index, step ->
            list.requireInRange(step.sharePercent, STEP_PERCENT, "$path.steps[$index].sharePercent")
            list.requireInRange(step.holdMilliseconds, HOLD_MILLISECONDS, "$path.steps[$index].holdMilliseconds")
        }
    }

    private fun requireVersion(
        version: String,
        versions: List<String>,
        path: String,
    ) = list.require(version in versions, ResultCode.DANGLING_REFERENCE, path) { "no target runs version '$version'" }

    private fun requireDataCentre(
        name: String,
        path: String,
    ) = list.require(name in dataCentreNames, ResultCode.DANGLING_REFERENCE, path) { "no data centre '$name'" }

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
        val ERROR_PERCENT = 0.0..100.0
        val STEP_PERCENT = 0.01..100.0
        val SLOW_FACTOR = 1.05..100.0
        val HOLD_MILLISECONDS = 0L..86_400_000L
    }
}

/** Parses an ISO 8601 instant; null when [text] is not one. */
public fun parseInstant(text: String): Instant? =
    try {
        Instant.parse(text)
    } catch (_: DateTimeParseException) {
        null
    }
