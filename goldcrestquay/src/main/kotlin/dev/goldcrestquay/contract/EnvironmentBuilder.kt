package dev.goldcrestquay.contract

/** Marks the builders of the environment document. */
@DslMarker
public annotation class EnvironmentDsl

/** Builds an environment document: `environment("trial") { region("north") { dataCentre("a") } }`. */
public fun environment(
    name: String,
    build: EnvironmentBuilder.() -> Unit,
): Environment = EnvironmentBuilder(name).apply(build).build()

/** Collects the parts of an [Environment]. */
@EnvironmentDsl
public class EnvironmentBuilder internal constructor(
    private val name: String,
) {
    private val regions = mutableListOf<Region>()
    private val services = mutableListOf<Service>()
    private val moves = mutableListOf<Move>()

    /** The data centres whose targets get no new calls. */
    public var dataCentresOut: Set<String> = emptySet()

    /** The limit on the probes sent to targets. */
    public var measuring: MeasuringBudget = MeasuringBudget()

    /** Adds a region. */
    public fun region(
        name: String,
        build: RegionBuilder.() -> Unit,
    ) {
        regions += RegionBuilder(name).apply(build).build()
    }

    /** Adds a service. */
    public fun service(
        name: String,
        build: ServiceBuilder.() -> Unit,
    ) {
        services += ServiceBuilder(name).apply(build).build()
    }

    /** Adds a move from the first of [versions] to the second; each of [steps] is a share in percent and its hold time in milliseconds. */
    public fun move(
        name: String,
        service: String,
        versions: Pair<String, String>,
        deadline: String,
        evidence: EvidenceRule = EvidenceRule(),
        vararg steps: Pair<Double, Long>,
    ) {
        val moveSteps = steps.map { (sharePercent, holdMilliseconds) -> MoveStep(sharePercent, holdMilliseconds) }
        moves += Move(name, service, versions.first, versions.second, moveSteps, deadline, evidence)
    }

    internal fun build(): Environment = Environment(name, regions, services, dataCentresOut, moves, measuring)
}

/** Collects the data centres of a [Region]. */
@EnvironmentDsl
public class RegionBuilder internal constructor(
    private val name: String,
) {
    private val dataCentres = mutableListOf<DataCentre>()

    /** Adds a data centre. */
    public fun dataCentre(
        name: String,
        oneWayMicroseconds: Long = 500,
    ) {
        dataCentres += DataCentre(name, oneWayMicroseconds)
    }

    internal fun build(): Region = Region(name, dataCentres)
}

/** Collects the parts of a [Service]. */
@EnvironmentDsl
public class ServiceBuilder internal constructor(
    private val name: String,
) {
    private val targets = mutableListOf<Target>()
    private val routes = mutableListOf<Route>()

    /** The minimum number of entry VMs that carry the service. */
    public var entryMinimum: Int = 3

    /** The expected load in calls per second, from which the number of entry VMs is planned. */
    public var callsPerSecond: Int = 1000

    /** The deadline of calls that state none, in milliseconds. */
    public var deadlineMilliseconds: Long = 2000

    /** The largest request body in bytes on routes that set no limit of their own. */
    public var maximumBodyBytes: Long = 8_388_608

    /** Adds a target. */
    public fun target(
        name: String,
        address: String,
        dataCentre: String,
        version: String = "1",
        slots: Int = 4,
        connections: Int = 200,
        coldAllowance: Int = 1,
    ) {
        targets += Target(name, address, dataCentre, version, slots, connections, coldAllowance)
    }

    /** Adds a route. */
    public fun route(
        pathPrefix: String,
        method: String = "*",
        idempotent: Boolean? = null,
        deadlineMilliseconds: Long? = null,
        maximumBodyBytes: Long? = null,
    ) {
        routes += Route(method, pathPrefix, idempotent, deadlineMilliseconds, maximumBodyBytes)
    }

    internal fun build(): Service = Service(name, targets, routes, entryMinimum, callsPerSecond, deadlineMilliseconds, maximumBodyBytes)
}
