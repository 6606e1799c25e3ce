package dev.goldcrestquay.contract

import kotlinx.serialization.Serializable

/**
 * The operators' document of one environment: data centres, services with their targets, and the version moves with their deadlines.
 *
 * @property name the environment's name, such as `production`.
 * @property regions the regions with their data centres.
 * @property services the services with their targets.
 * @property dataCentresOut the data centres whose targets get no new calls.
 * @property moves the version moves under way.
 * @property measuring the limit on the probes sent to targets.
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

/** A group of data centres that one wide-area network fault can cut off together. */
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
 * @property entryMinimum the minimum number of entry VMs that carry the service.
 * @property callsPerSecond the expected load, from which the number of entry VMs is planned.
 * @property deadlineMilliseconds the deadline of calls that state none.
 * @property maximumBodyBytes the largest request body on routes that set no limit of their own.
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
 * @property address the IP address and port, such as `10.0.0.1:8080`.
 * @property slots the number of calls that the target runs concurrently.
 * @property connections the number of connections that the target accepts from all entry VMs together.
 * @property coldAllowance the number of calls in flight from all entry VMs together that the target can take right after its start.
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
 * Rules for the calls of a service that match a method and a path prefix.
 *
 * @property method the HTTP method, or `*` for any.
 * @property pathPrefix the prefix of the path.
 * @property idempotent whether a call may run more than once; when null, the HTTP method decides.
 * @property deadlineMilliseconds the deadline of calls that state none, or null for the service's.
 * @property maximumBodyBytes the largest request body, or null for the service's.
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
 * @property steps the steps in order; their shares never fall and end at 100 percent.
 * @property deadline the ISO 8601 instant by which the move is finished or rolled back.
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
 * @property sharePercent the upper limit on the new version's share of calls, in percent.
 * @property holdMilliseconds how long the share is held before the next step.
 */
@Serializable
public data class MoveStep(
    val sharePercent: Double,
    val holdMilliseconds: Long,
)

/**
 * When a new version counts as faulty compared with the old one.
 *
 * @property minimumCalls the number of calls of the new version below which it is not called healthy, and the number of calls that
 *   each version needs before their latencies are compared.
 * @property errorPercent how far the new version's error rate may exceed the old one's, in percentage points.
 * @property slowFactor the highest ratio of the new version's mean latency to the old one's that is tolerated.
 */
@Serializable
public data class EvidenceRule(
    val minimumCalls: Int = 20,
    val errorPercent: Double = 0.1,
    val slowFactor: Double = 2.0,
)

/**
 * The limit on the probes sent to targets.
 *
 * @property probesPerSecond the number of probes per second that one target may get from all entry VMs together.
 */
@Serializable
public data class MeasuringBudget(
    val probesPerSecond: Double = 1.0,
)
