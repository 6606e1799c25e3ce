package dev.goldcrestquay.benchmarks.capacity

import com.sun.management.ThreadMXBean
import dev.goldcrestquay.contract.LogRecords
import dev.goldcrestquay.contract.changeBetween
import dev.goldcrestquay.link.LoadReport
import dev.goldcrestquay.link.LogBatch
import dev.goldcrestquay.link.LogEntry
import dev.goldcrestquay.link.asClock
import dev.goldcrestquay.machine.EnvironmentTable
import dev.goldcrestquay.machine.MemberRecord
import dev.goldcrestquay.machine.MemberStatus
import dev.goldcrestquay.routing.AttemptEnd
import dev.goldcrestquay.routing.Choice
import dev.goldcrestquay.routing.RoutingSettings
import dev.goldcrestquay.routing.ServiceTable
import dev.goldcrestquay.zone.Placement
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** The choices made before measurement starts. */
private const val WARM_UP_CHOICES = 100_000
private const val MEASURED_CHOICES = 400_000
private const val ROUNDS = 5

/** Measures the time and the allocated bytes of one target choice and its completion, by targets of a service and by services held. */
internal fun choicePoints(): List<CapacityPoint> =
    listOf(10, 20, 40, 80).flatMap { targets -> measureChoice(1, targets, targets, "targets of a service") } +
        listOf(1, 50, 250).flatMap { services -> measureChoice(services, 10, services, "services held") }

private fun measureChoice(
    services: Int,
    targets: Int,
    size: Int,
    dimension: String,
): List<CapacityPoint> {
    val clock = TimeSource.Monotonic.asClock()
    val tables = environmentOf(services, targets).services.map { ServiceTable(it, RoutingSettings(), clock, Random(1)) }
    val report = AttemptEnd.Answered(false, LoadReport(1, 1, 1_000_000))
    var nextTable = 0
    val chooseAndComplete = {
        val table = tables[nextTable++ % tables.size]
        val choice = table.reserve(1.seconds)
        if (choice is Choice.Reserved) table.complete(choice, report)
    }
    repeat(WARM_UP_CHOICES) { chooseAndComplete() }
    val times =
        List(ROUNDS) {
            val start = System.nanoTime()
            repeat(MEASURED_CHOICES / ROUNDS) { chooseAndComplete() }
            (System.nanoTime() - start).toDouble() / (MEASURED_CHOICES / ROUNDS)
        }
    val allocatedBefore = allocatedBytes()
    repeat(MEASURED_CHOICES / ROUNDS) { chooseAndComplete() }
    val allocated = (allocatedBytes() - allocatedBefore).toDouble() / (MEASURED_CHOICES / ROUNDS)
    return listOf(
        CapacityPoint("choice by $dimension, median round", size, times.sorted()[ROUNDS / 2], "ns"),
        CapacityPoint("choice by $dimension, slowest round", size, times.max(), "ns"),
        CapacityPoint("bytes allocated for a choice by $dimension", size, allocated, "bytes"),
    )
}

private fun allocatedBytes(): Long =
    (ManagementFactory.getThreadMXBean() as ThreadMXBean).getThreadAllocatedBytes(Thread.currentThread().id)

/** Measures the time to compute the placement of all services after a change of the members. */
internal fun placementPoints(): List<CapacityPoint> {
    val services = environmentOf(250, 10).services
    return listOf(13, 50, 150, 400).map { size ->
        val members = List(size) { MemberRecord("vm-$it", 1, 0, MemberStatus.ALIVE, "dc-${it % DATA_CENTRE_COUNT}", "c", "p") }
        repeat(ROUNDS) { Placement.of(services, members) }
        val start = System.nanoTime()
        repeat(ROUNDS) { Placement.of(services, members) }
        CapacityPoint("placing 250 services by entry VMs", size, (System.nanoTime() - start) / 1e6 / ROUNDS, "ms")
    }
}

/** Measures the memory of the environment and of the tables of the services that an entry VM holds, and the size of a change. */
internal fun memoryPoints(): List<CapacityPoint> =
    listOf(10, 50, 250).flatMap { services ->
        val document = environmentOf(services, 10)
        val text = LogRecords.write(changeBetween("c", 0, null, document))
        val (environmentBytes, table) =
            measureRetained { EnvironmentTable().apply { applyBatch(LogBatch(1, 2, listOf(LogEntry(1, text)))) } }
        val (tableBytes, tables) =
            measureRetained { document.services.map { ServiceTable(it, RoutingSettings(), { 0.seconds }, Random(1)) } }
        check(table.complete && tables.size == services)
        listOf(
            CapacityPoint("memory of the document by services of 10 targets", services, environmentBytes / 1024.0, "KiB"),
            CapacityPoint("memory of call tables by services of 10 targets", services, tableBytes / 1024.0, "KiB"),
            CapacityPoint("bytes of one service's change by services", services, oneServiceChangeBytes(services), "bytes"),
        )
    }

/** The size of the log record that changes one of [services] services. */
private fun oneServiceChangeBytes(services: Int): Double {
    val document = environmentOf(services, 10)
    val changed = document.copy(services = document.services.map { if (it.name == "service-0") it.copy(entryMinimum = 4) else it })
    return LogRecords.write(changeBetween("c", 1, document, changed)).length.toDouble()
}

/** Returns the heap bytes that the result of [create] retains, and the result. */
private fun <T> measureRetained(create: () -> T): Pair<Long, T> {
    val before = usedHeapAfterCollection()
    val created = create()
    return (usedHeapAfterCollection() - before).coerceAtLeast(0) to created
}

private fun usedHeapAfterCollection(): Long {
    repeat(3) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}
