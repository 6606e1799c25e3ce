package dev.goldcrestquay.standins.platform

/** Offsets of the ports of an entry VM from its first port, which serves callers. */
internal const val READY_PORT_OFFSET = 1
internal const val CONTROL_PORT_OFFSET = 2
internal const val DIRECTORY_PORT_OFFSET = 3

/** Settings of usage reports to the API at [apiPort] of `127.0.0.1`; the others are durations such as `5s`. */
class UsageBounds(
    val apiPort: Int,
    val window: String = "5s",
    val dueAfter: String = "10s",
    val leaseTime: String = "3s",
)

/** Creates the JSON documents of a small deployment: the plan of its operators and the settings of its entry VMs. */
object DeploymentDocuments {
    private const val REQUEST_LIMITS =
        """"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms""""

    /**
     * Returns a plan that routes the paths of [kinds], such as `/safe/`, of `shop.example` to [service], each with its request kind.
     *
     * @param timeout the timeout of each route, as a duration such as `2000ms`.
     * @param objective the latency objective of each route, also as a duration.
     * @param tenants the keys of each tenant by its name, or null for a plan without tenants.
     * @param publicKinds the [kinds] whose routes need no key.
     */
    fun plan(
        version: Int,
        service: String = "shop",
        timeout: String = "2000ms",
        objective: String = "400ms",
        kinds: List<String> = listOf("safe", "unsafe", "upload"),
        tenants: Map<String, List<String>>? = null,
        publicKinds: Set<String> = emptySet(),
    ): String {
        val rows =
            kinds.joinToString(",") { kind ->
                val public = if (tenants == null) "" else ",${kind in publicKinds}"
                """["route-$kind","shop.example","/$kind/","$kind","$timeout","$objective",1,"$service",2,null$public]"""
            }
        val tenantRows =
            tenants?.entries?.joinToString(",", """"tenants":{"columns":["name","api_keys","priority"],"rows":[""", "]},") { (name, keys) ->
                """["$name",[${keys.joinToString(",") { "\"$it\"" }}],null]"""
            }
        val publicColumn = if (tenants == null) "" else ""","public""""
        return """{"version":"%08x","routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency",""".format(version) +
            """"priority","service","max_attempts","traffic_split"$publicColumn],"rows":[$rows]},""" +
            tenantRows.orEmpty() +
            """"services":{"columns":["name","health_path","max_conns","protocol","tls","warmup","warmup_per_s"],""" +
            """"rows":[["$service","${TargetStandIn.HEALTH_PATH}",200,"h1",false,"3s",7.0]]},"limits":{$REQUEST_LIMITS}}"""
    }

    /**
     * Returns the settings of an entry VM on [host] that listens on four consecutive ports from [firstPort] on.
     *
     * @param usage how usage is reported; not at all when null.
     * @param guarantees the parts of the platform's rules in force as a JSON array, or null to state none.
     * @param machine the limits of its machine as a JSON object, or null to state none.
     */
    fun settings(
        name: String,
        firstPort: Int,
        storePort: Int,
        seeds: List<String> = emptyList(),
        host: String = "127.0.0.1",
        usage: UsageBounds? = null,
        guarantees: String? = null,
        machine: String? = null,
    ): String {
        val rules = if (guarantees == null) "" else ""","guarantees":$guarantees"""
        val usageBounds =
            usage?.run { ""","report_window":"$window","usage_late":"$dueAfter","lease_time":"$leaseTime"""" }.orEmpty()
        val cloud =
            usage?.run { ""","cloud":{"address":"127.0.0.1:$apiPort","duties":["usage_report"],"duties_per_s":50.0}""" }.orEmpty()
        val seedList = seeds.joinToString(",") { "\"$it\"" }
        val limits = if (machine == null) "" else """"limits":$machine,"""
        return """{"node_name":"$name","zone":"north",$limits""" +
            """"listen":{"front":"$host:$firstPort","ready":"$host:${firstPort + READY_PORT_OFFSET}",""" +
            """"control":"$host:${firstPort + CONTROL_PORT_OFFSET}","directory":"$host:${firstPort + DIRECTORY_PORT_OFFSET}"},""" +
            """"seeds":[$seedList],""" +
            """"bounds":{"grace":"6s","retry_budget_ratio":0.2,"retry_budget_slack":56,"retry_window":"10s",""" +
            """"probes_per_s":60$usageBounds},""" +
            """"platform":{"address":"127.0.0.1:$storePort"}$cloud$rules}"""
    }
}
