package dev.goldcrestquay

import dev.goldcrestquay.contract.PlannedOrganisation
import dev.goldcrestquay.contract.PlannedRoute
import dev.goldcrestquay.contract.PlannedService
import dev.goldcrestquay.contract.RequestKind
import dev.goldcrestquay.contract.RequestLimits
import dev.goldcrestquay.contract.RoutePlan
import dev.goldcrestquay.contract.WeightedService
import dev.goldcrestquay.machine.FleetMember
import dev.goldcrestquay.machine.PlanRecord
import dev.goldcrestquay.machine.RegisteredTarget
import dev.goldcrestquay.machine.SocketAddress
import dev.goldcrestquay.machine.TargetPhase
import dev.goldcrestquay.machine.TargetRecord
import dev.goldcrestquay.organisation.CallerKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A route of [kind] on `shop.example`, by default with the kind's name as path prefix. */
fun plannedRoute(
    kind: RequestKind = RequestKind.SAFE,
    prefix: String = "/${kind.name.lowercase()}/",
    attempts: Int = 2,
    destinations: List<WeightedService> = listOf(WeightedService("shop", 1.0)),
): PlannedRoute =
    PlannedRoute("route-$prefix", "shop.example", prefix, kind, 1500.milliseconds, 400.milliseconds, 1, destinations, attempts)

/** A plan with the given [routes], by default one route of each kind. */
fun routePlan(
    version: Long = 1,
    routes: List<PlannedRoute> = RequestKind.entries.map { plannedRoute(it) },
    organisations: List<PlannedOrganisation> = emptyList(),
): RoutePlan =
    RoutePlan(
        version,
        routes,
        listOf(PlannedService("shop", "/health", 200, 7.0)),
        RequestLimits(16_384, 67_108_864, 3.seconds, 15.seconds),
        organisations,
    )

/** An organisation with the given [keys]. */
fun plannedOrganisation(
    name: String,
    vararg keys: String,
    priority: Int? = null,
): PlannedOrganisation = PlannedOrganisation(name, keys.map { CallerKey.digestText(it) }, priority)

/** A record of a [routePlan] at [offset]. */
fun planRecord(
    version: Long,
    offset: Long = version,
): PlanRecord = PlanRecord("config", offset, routePlan(version))

/** A target of the service `shop`, ready by default. */
fun registeredTarget(
    id: String,
    phase: TargetPhase = TargetPhase.READY,
    version: String = "v1",
    startedAt: Long? = null,
    heartbeat: Long = 1,
    warmUpLeft: Duration = Duration.ZERO,
    dataCentre: String = "north",
): RegisteredTarget =
    RegisteredTarget(id, "shop", SocketAddress("10.0.0.1", 8080), dataCentre, version, 4, phase, warmUpLeft, startedAt, heartbeat)

/** A record of [target] at [offset]. */
fun targetRecord(
    target: RegisteredTarget,
    offset: Long,
): TargetRecord = TargetRecord(target.id, offset, target)

/** The member of the fleet named `vm-` and [number]. */
fun fleetMember(
    number: Int,
    incarnation: Long = 1,
): FleetMember =
    FleetMember(
        "vm-$number",
        incarnation,
        "north",
        SocketAddress("10.1.0.$number", 8000),
        SocketAddress("10.1.0.$number", 9000),
        true,
    )
