package dev.goldcrestquay.organisation

/** For which organisation a request is run, by one version of the plan. */
public sealed interface CallerOrganisation {
    /** The plan names no organisations; headers pass as the caller sent them. */
    public data object Unused : CallerOrganisation

    /** The caller of a public route, without a key. */
    public data object Anonymous : CallerOrganisation

    /** A caller of the organisation called [organisation], whose [priority] goes before the route's unless it is null. */
    public data class Identified(
        val organisation: String,
        val priority: Int?,
    ) : CallerOrganisation

    /** The key is unknown, or missing on a route that needs one. */
    public data object Rejected : CallerOrganisation

    /** The entry VM that relays the request identified the caller by a plan before one that took keys away. */
    public data object Outdated : CallerOrganisation

    /** The name of the organisation, or null when there is none. */
    public val organisationName: String? get() = (this as? Identified)?.organisation
}
