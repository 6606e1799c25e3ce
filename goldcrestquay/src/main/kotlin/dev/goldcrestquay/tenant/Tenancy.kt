package dev.goldcrestquay.tenant

/** For which organisation a request is run, by one version of the plan. */
public sealed interface Tenancy {
    /** The plan names no organisations; headers pass as the caller sent them. */
    public data object Unused : Tenancy

    /** The caller of a public route, without a key. */
    public data object Anonymous : Tenancy

    /** A caller of the organisation called [tenant], whose [priority] goes before the route's unless it is null. */
    public data class Identified(
        val tenant: String,
        val priority: Int?,
    ) : Tenancy

    /** The key is unknown, or missing on a route that needs one. */
    public data object Rejected : Tenancy

    /** The entry VM that relays the request identified the caller by a plan before one that took keys away. */
    public data object Outdated : Tenancy

    /** The name of the organisation, or null when there is none. */
    public val tenantName: String? get() = (this as? Identified)?.tenant
}
