package dev.goldcrestquay.contract

import kotlinx.serialization.Serializable

/**
 * The document of one environment: what runs where, and which versions carry traffic by when.
 *
 * @property name the environment's name, such as `production`.
 * @property regions the regions with their data centres.
 * @property services the services with their targets.
 * @property dataCentresOut the data centres that take no new work.
 * @property moves the version moves under way.
 * @property measuring what measuring may cost.
 */
@Serializable
public data class Environment(
    val name: String,
    val regions: List<Region> = emptyList(),
    val services: List<Service> = emptyList(),
    val dataCentresOut: Set<String> = emptySet(),
    val moves: List<Move> = emptyList(),
    val measuring: MeasuringBudget = MeasuringBudget(),
) {
    /** The service called [serviceName], or null. */
    public fun service(serviceName: String): Service? = services.firstOrNull { it.name == serviceName }

    /** The move under way for [serviceName], or null. */
    public fun moveOf(serviceName: String): Move? = moves.firstOrNull { it.service == serviceName }
}

/** A group of data centres that a wide-area fault can cut off together. */
@Serializable
public data class Region(
    val name: String,
    val dataCentres: List<DataCentre>,
)

/**
 * One data centre.
 *
 * @property oneWayMicroseconds the one-way latency to the other data centres of its region, in microseconds.
 */
@Serializable
public data class DataCentre(
    val name: String,
    val oneWayMicroseconds: Long = 500,
)

/**
 * One service and the targets that run it.
 *
 * @property entryMinimum the least number of entry VMs that carry the service.
 * @property callsPerSecond the load to plan entry VMs for.
 * @property deadlineMilliseconds the deadline of calls that bring none.
 * @property maximumBodyBytes the largest request body of routes that set none.
 */
@Serializable
public data class Service(
    val name: String,
    val targets: List<Target>,
    val routes: List<Route> = emptyList(),
    val entryMinimum: Int = 3,
    val callsPerSecond: Int = 1000,
    val deadlineMilliseconds: Long = 2000,
    val maximumBodyBytes: Long = 8_388_608,
)

/**
 * One server process of a service.
 *
 * @property address the IP number and port, as `10.0.0.1:8080`.
 * @property slots how many calls it runs at once.
 * @property connections how many connections it accepts from all entry VMs together.
 * @property coldAllowance how many calls in flight it bears right after its start, fleet-wide.
 */
@Serializable
public data class Target(
    val name: String,
    val address: String,
    val dataCentre: String,
    val version: String,
    val slots: Int = 4,
    val connections: Int = 200,
    val coldAllowance: Int = 1,
)

/**
 * Rules for the calls of a service whose method and path match.
 *
 * @property method the HTTP method, or `*`.
 * @property pathPrefix the start of the path.
 * @property idempotent whether the call may run twice; null leaves it to the method.
 */
@Serializable
public data class Route(
    val method: String = "*",
    val pathPrefix: String,
    val idempotent: Boolean? = null,
    val deadlineMilliseconds: Long? = null,
    val maximumBodyBytes: Long? = null,
)

/**
 * A shift of a service's traffic from one version to another.
 *
 * @property steps the shares to pass through, rising to 100.
 * @property deadline the ISO 8601 instant by which the move is finished or taken back.
 * @property evidence when the new version counts as faulty.
 */
@Serializable
public data class Move(
    val name: String,
    val service: String,
    val fromVersion: String,
    val toVersion: String,
    val steps: List<MoveStep>,
    val deadline: String,
    val evidence: EvidenceRule = EvidenceRule(),
)

/**
 * One step of a move.
 *
 * @property sharePercent the new version's largest share of calls, in percent.
 * @property holdMilliseconds how long the share is held before the next step.
 */
@Serializable
public data class MoveStep(
    val sharePercent: Double,
    val holdMilliseconds: Long,
)

/**
 * When a new version counts as faulty beside the old one.
 *
 * @property minimumCalls the calls of the new version that a verdict on errors needs.
 * @property errorPercent how far, in percentage points, its error share may exceed the old version's.
 * @property slowFactor how many times the old version's mean latency it may take.
 */
@Serializable
public data class EvidenceRule(
    val minimumCalls: Int = 20,
    val errorPercent: Double = 0.1,
    val slowFactor: Double = 2.0,
)

/**
 * What measuring may cost the targets.
 *
 * @property probesPerSecond the probes that one target may get in a second from all entry VMs together.
 */
@Serializable
public data class MeasuringBudget(
    val probesPerSecond: Double = 1.0,
)
