package dev.goldcrestquay.standins.platform

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlin.time.Duration

/** Puts [plan] in force, as an operator would; see [DeploymentDocuments.plan]. */
internal fun StoreStandIn.writePlan(plan: String): Int = write("keyed.op", "config", plan)

/** Orders the rollout of [version] of [service] within [duration], as an operator would. */
internal fun StoreStandIn.orderRollout(
    service: String,
    version: String,
    duration: Duration,
): Int {
    val order = """{"service":"$service","target_version":"$version","duration":"${duration.inWholeSeconds}s"}"""
    return write("keyed.op", "rollout/$service", order)
}

/** Writes the [heartbeat] of the target called [id], as the target would; null removes its record. */
internal fun StoreStandIn.writeTarget(
    id: String,
    heartbeat: String?,
): Int = write("keyed.servers", id, heartbeat)

/** The state in the newest verdict of the entry VMs on the rollout of [version] of [service], or null when there is none. */
internal fun StoreStandIn.verdict(
    service: String,
    version: String,
): String? {
    val verdict = newestValue("keyed.status", "rollout/$service")?.let { Json.parseToJsonElement(it).jsonObject } ?: return null
    return verdict["state"]?.jsonPrimitive?.content?.takeIf { verdict["target_version"]?.jsonPrimitive?.content == version }
}
