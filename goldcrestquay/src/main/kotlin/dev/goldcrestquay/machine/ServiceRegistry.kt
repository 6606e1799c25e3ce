package dev.goldcrestquay.machine

import dev.goldcrestquay.contract.Environment
import dev.goldcrestquay.link.EntryLinks
import dev.goldcrestquay.routing.CallRouter
import dev.goldcrestquay.routing.RoutingEvent
import dev.goldcrestquay.routing.ServiceConstraints
import dev.goldcrestquay.routing.ServiceTable
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * The services that an entry VM handles: those that it carries, and others for callers with an outdated address list.
 *
 * A table is created at its first use, so an entry VM holds no state for services that it never sees.
 */
public class ServiceRegistry(
    private val settings: EntrySettings,
    private val links: EntryLinks,
    private val random: Random,
    private val observe: (RoutingEvent) -> Unit,
) {
    private class Entry(
        val table: ServiceTable,
        val router: CallRouter,
    )

    private val entries = ConcurrentHashMap<String, Entry>()

    @Volatile
    private var environment: Environment? = null

    @Volatile
    private var posture: (String) -> ServiceConstraints = { ServiceConstraints() }

    /** The tables by service name. */
    public val tables: Map<String, ServiceTable> get() = entries.mapValues { it.value.table }

    /** The router of [service], or null when the environment in force has no such service. */
    public fun routerOf(service: String): CallRouter? = entryOf(service)?.router

    /** The table of [service], or null when the environment in force has no such service. */
    public fun tableOf(service: String): ServiceTable? = entryOf(service)?.table

    /** Puts [newEnvironment] in force and drops the services that it no longer has. */
    public fun updateEnvironment(newEnvironment: Environment?) {
        if (newEnvironment === environment) return
        environment = newEnvironment
        entries.keys.removeIf { newEnvironment?.service(it) == null }
        entries.forEach { (name, entry) -> newEnvironment?.service(name)?.takeIf { it != entry.table.service }?.let(entry.table::update) }
    }

    /** Applies [newPosture], the fleet's decisions about each service, to all tables. */
    public fun posture(newPosture: (String) -> ServiceConstraints) {
        posture = newPosture
        entries.forEach { (name, entry) -> entry.table.applyConstraints(newPosture(name)) }
    }

    private fun entryOf(name: String): Entry? {
        entries[name]?.let { return it }
        val service = environment?.service(name) ?: return null
        return entries.computeIfAbsent(name) {
            val table = ServiceTable(service, settings.routing, links.clock, random, networkRoundTrip = links.networkRoundTrip)
            table.applyConstraints(posture(name))
            Entry(table, CallRouter(table, settings.routing, links.clock, observe))
        }
    }
}
