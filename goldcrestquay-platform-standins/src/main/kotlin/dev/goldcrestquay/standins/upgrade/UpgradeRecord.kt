package dev.goldcrestquay.standins.upgrade

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.io.File
import kotlin.time.Duration
import kotlin.time.TimeSource

/** One run of a request at a target. */
internal data class TargetRun(
    val at: Duration,
    val request: String,
    val target: String,
    val version: String,
)

/** One request of a caller; [status] is null when its connection ended without an answer. */
internal data class CallerRequest(
    val id: String,
    val kind: String,
    val entryVm: String,
    val sentAt: Duration,
    val status: Int?,
)

/** What was sent, answered and run, in memory for the checks and as JSON lines in [file]. May be used from any thread. */
internal class UpgradeRecord(
    file: File,
) : AutoCloseable {
    private val startedAt = TimeSource.Monotonic.markNow()
    private val writer = file.bufferedWriter()
    private val recordedRuns = mutableListOf<TargetRun>()
    private val recordedRequests = mutableListOf<CallerRequest>()

    /** The time since the start of the record. */
    val now: Duration get() = startedAt.elapsedNow()

    /** All runs so far, in order. */
    val runs: List<TargetRun> get() = synchronized(this) { recordedRuns.toList() }

    /** All requests that have ended so far, in order of their ends. */
    val requests: List<CallerRequest> get() = synchronized(this) { recordedRequests.toList() }

    fun add(run: TargetRun) {
        synchronized(this) { recordedRuns += run }
        write("run", run.at, mapOf("request" to run.request, "target" to run.target, "version" to run.version))
    }

    fun add(request: CallerRequest) {
        synchronized(this) { recordedRequests += request }
        val details = mapOf("request" to request.id, "kind" to request.kind, "entry_vm" to request.entryVm)
        write("request", request.sentAt, details + ("status" to (request.status?.toString() ?: "none")))
    }

    /** Records a step of the check. */
    fun note(
        event: String,
        details: Map<String, String> = emptyMap(),
    ) = write(event, now, details)

    private fun write(
        event: String,
        at: Duration,
        details: Map<String, String>,
    ) = synchronized(this) {
        val line =
            buildJsonObject {
                put("at_ms", at.inWholeMilliseconds)
                put("event", event)
                details.forEach { (name, value) -> put(name, value) }
            }
        writer.appendLine(line.toString())
    }

    override fun close() = synchronized(this) { writer.close() }
}
