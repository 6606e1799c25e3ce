package dev.goldcrestquay.standins.platform

/** Documents that an operator and the platform would write for a small deployment. */
object Deployment {
    private const val HEADER_LIMITS =
        """"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms""""

    /** A plan with one route of each kind on `/safe/`, `/unsafe/` and `/upload/` of `shop.example`. */
    fun plan(
        version: Int,
        service: String = "shop",
        timeout: String = "2000ms",
    ): String {
        val rows =
            listOf("safe", "unsafe", "upload").joinToString(",") { kind ->
                """["route-$kind","shop.example","/$kind/","$kind","$timeout","400ms",1,"$service",2,null]"""
            }
        return """{"version":"%08x","routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency",""".format(version) +
            """"priority","service","max_attempts","traffic_split"],"rows":[$rows]},""" +
            """"services":{"columns":["name","health_path","max_conns","protocol","tls","warmup","warmup_per_s"],""" +
            """"rows":[["$service","${UpstreamStandIn.HEALTH_PATH}",200,"h1",false,"3s",7.0]]},"limits":{$HEADER_LIMITS}}"""
    }

    /** The settings of an entry VM on [host] whose ports begin at [firstPort]. */
    fun settings(
        name: String,
        firstPort: Int,
        storePort: Int,
        seeds: List<String> = emptyList(),
        host: String = "127.0.0.1",
    ): String {
        val seedList = seeds.joinToString(",") { "\"$it\"" }
        return """{"node_name":"$name","zone":"north","listen":{"front":"$host:$firstPort","ready":"$host:${firstPort + 1}",""" +
            """"control":"$host:${firstPort + 2}","directory":"$host:${firstPort + 3}"},"seeds":[$seedList],""" +
            """"bounds":{"grace":"6s","retry_budget_ratio":0.2,"retry_budget_slack":56,"retry_window":"10s","probes_per_s":60},""" +
            """"platform":{"address":"127.0.0.1:$storePort"}}"""
    }
}
