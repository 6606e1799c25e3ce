package dev.goldcrestquay.benchmarks.capacity

import dev.goldcrestquay.benchmarks.fleet.FakeFleet
import dev.goldcrestquay.benchmarks.fleet.LinkCounts
import dev.goldcrestquay.contract.Environment
import dev.goldcrestquay.peer.toProtocol
import dev.goldcrestquay.standins.lab.processCpuNanoseconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.minutes

private val FLEET_SIZES = listOf(13, 50, 150, 400)
private const val SERVICES = 250
private const val TARGETS_EACH = 10
private const val SETTLE_MILLISECONDS = 25_000L
private const val MEASURED_SECONDS = 20

/** The bytes that surround a gRPC message on the wire: HTTP/2 frames and headers on an established connection, and TCP/IP. */
private const val EXCHANGE_OVERHEAD_BYTES = 150

/** The bytes that surround the records of one HTTP request to the log, its reply included. */
private const val LOG_REQUEST_OVERHEAD_BYTES = 250

/**
 * Measures control traffic and processor time of one entry VM by the number of entry VMs, for [SERVICES] services of [TARGETS_EACH]
 * targets each.
 */
internal fun controlPoints(seed: Long): List<CapacityPoint> =
    FLEET_SIZES.flatMap { size -> measureFleet(size, seed, environmentOf(SERVICES, TARGETS_EACH)) }

private fun measureFleet(
    size: Int,
    seed: Long,
    document: Environment,
): List<CapacityPoint> {
    val points = mutableListOf<CapacityPoint>()
    runTest(timeout = 10.minutes) {
        val fleet = FakeFleet(this, seed) { it.toProtocol().serializedSize + EXCHANGE_OVERHEAD_BYTES }
        fleet.publish(document)
        repeat(size) { fleet.start("vm-$it", "dc-${it % DATA_CENTRE_COUNT}") }
        delay(SETTLE_MILLISECONDS)
        val before = fleet.counts.snapshot()
        val processorBefore = processCpuNanoseconds()
        delay(MEASURED_SECONDS * 1000L)
        val processor = processCpuNanoseconds() - processorBefore
        val after = fleet.counts.snapshot()
        val perVm = { value: Long -> value.toDouble() / size / MEASURED_SECONDS }
        val logBytes = (after.logBytes - before.logBytes) + (after.logRequests - before.logRequests) * LOG_REQUEST_OVERHEAD_BYTES
        points += CapacityPoint("exchange bytes per VM by entry VMs", size, perVm(after.exchangeBytes - before.exchangeBytes), "bytes/s")
        points += CapacityPoint("log bytes per VM by entry VMs", size, perVm(logBytes), "bytes/s")
        points += CapacityPoint("log appends of the fleet by entry VMs", size, perVm(after.logAppends - before.logAppends) * size, "1/s")
        points += CapacityPoint("log reads of the fleet by entry VMs", size, perVm(after.logReads - before.logReads) * size, "1/s")
        points +=
            CapacityPoint(
                "probes per target by entry VMs",
                size,
                (after.probes - before.probes).toDouble() / MEASURED_SECONDS / (SERVICES * TARGETS_EACH),
                "1/s",
            )
        points +=
            CapacityPoint("processor share of a VM by entry VMs", size, perVm(processor) / NANOSECONDS_PER_SECOND * PERCENT, "% of a core")
        points +=
            CapacityPoint(
                "members seen alive, least, by entry VMs",
                size,
                fleet.vms.values
                    .minOf { it.entryVm.members.alive.size }
                    .toDouble(),
                "VMs",
            )
        points += measureChange(fleet, document)
    }
    return points
}

/** Measures how long an accepted change takes to be in force on all entry VMs while a tenth of them reach only their peers. */
private suspend fun measureChange(
    fleet: FakeFleet,
    document: Environment,
): CapacityPoint {
    fleet.vms.keys
        .filterIndexed { index, _ -> index % CUT_ONE_IN == 0 }
        .forEach { fleet.cutFromLog += it }
    delay(CUT_LEAD_MILLISECONDS)
    fleet.publish(document.copy(dataCentresOut = setOf("dc-1")))
    val generation = fleet.expectedState().generation
    val start = fleet.clock()
    while (fleet.vms.values.any { it.entryVm.environments.state.generation < generation }) delay(POLL_MILLISECONDS)
    val seconds = (fleet.clock() - start).inWholeMilliseconds / 1000.0
    return CapacityPoint("change in force everywhere, a tenth cut from the log, by entry VMs", fleet.vms.size, seconds, "s")
}

/** One in this many entry VMs is cut off from the log. */
private const val CUT_ONE_IN = 10

/** How long entry VMs have been cut off from the log when the change is published. */
private const val CUT_LEAD_MILLISECONDS = 5000L
private const val POLL_MILLISECONDS = 50L
private const val NANOSECONDS_PER_SECOND = 1e9
private const val PERCENT = 100.0

/** A copy of [LinkCounts] at one time; [logBytes] and [logRequests] are the totals of reads and appends. */
private class LinkCountsSnapshot(
    val exchangeBytes: Long,
    val logBytes: Long,
    val logRequests: Long,
    val logAppends: Long,
    val logReads: Long,
    val probes: Long,
)

private fun LinkCounts.snapshot(): LinkCountsSnapshot =
    LinkCountsSnapshot(exchangeBytes, logReadBytes + logAppendBytes, logReads + logAppends, logAppends, logReads, probes)
