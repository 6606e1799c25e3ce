package dev.goldcrestquay.machine

import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Probes targets without a recent load report, for services whose lease this entry VM holds.
 *
 * A single lease holder at a time keeps the probe budget even when entry VMs know different members. A new holder waits one probe
 * interval before its first probe.
 */
internal class Prober(
    private val vm: EntryVm,
) {
    private val nextProbe = mutableMapOf<Pair<String, String>, Duration>()
    private val heldSince = mutableMapOf<String, Duration>()

    /** The probes sent so far. */
    var sent: Long = 0
        private set

    suspend fun probeDueTargets() {
        val environment = vm.environments.state.environment ?: return
        val interval = (1.0 / environment.measuring.probesPerSecond).seconds
        val now = vm.links.clock()
        val held = vm.services.tables.filterKeys { vm.leases.heldUntil(it) > now + PROBE_TIMEOUT }
        heldSince.keys.retainAll(held.keys)
        nextProbe.values.removeIf { it < now - interval }
        coroutineScope {
            for ((service, table) in held) {
                val since = heldSince.getOrPut(service) { now }
                if (now - since < interval) continue
                for (target in table.targetsWithoutReport(vm.settings.maximumReportAge)) {
                    val key = service to target.name
                    if ((nextProbe[key] ?: now) > now) continue
                    nextProbe[key] = now + interval
                    sent++
                    launch { withTimeoutOrNull(PROBE_TIMEOUT) { vm.links.probe(target) }?.onSuccess { table.recordProbe(target.name, it) } }
                }
            }
        }
    }

    private companion object {
        val PROBE_TIMEOUT = 1.seconds
    }
}
