package dev.goldcrestquay.daemon

import com.github.michaelbull.result.Result
import dev.goldcrestquay.contract.JsonDocument
import dev.goldcrestquay.contract.Problem
import dev.goldcrestquay.contract.ProblemList
import kotlinx.serialization.Serializable

/**
 * The settings of one entry VM.
 *
 * @property name the entry VM's name, unique in the environment.
 * @property dataCentre the data centre that the entry VM runs in.
 * @property host the IP address that its ports listen on.
 * @property callerPort the port for callers, or 0 for any free port.
 * @property peerPort the port for other entry VMs, or 0 for any free port.
 * @property operatorPort the port for operators, or 0 for any free port.
 * @property platform the IP address and port of the platform's log service and VM list.
 * @property stream the environment's stream on the log.
 * @property eventLoops the number of event loop threads that serve calls.
 * @property otlpEndpoint the URL of the OTLP collector to export spans to, such as `http://10.0.0.9:4317`; with null, none are exported.
 */
@Serializable
data class DaemonSettings(
    val name: String,
    val dataCentre: String,
    val host: String,
    val callerPort: Int,
    val peerPort: Int,
    val operatorPort: Int,
    val platform: String,
    val stream: String,
    val eventLoops: Int = 2,
    val otlpEndpoint: String? = null,
) {
    companion object {
        /** Parses settings from JSON; on failure, returns every problem found. */
        fun read(text: String): Result<DaemonSettings, List<Problem>> = JsonDocument.read(text, serializer()) { it.problems() }

        private val PORTS = 0..65_535
        private val EVENT_LOOPS = 1..64
    }

    private fun problems(): List<Problem> {
        val list = ProblemList()
        list.requireName(name, "$.name")
        list.requireName(dataCentre, "$.dataCentre")
        list.requireName(stream, "$.stream")
        list.requireAddress("$host:0", "$.host")
        list.requireAddress(platform, "$.platform")
        list.requireInRange(callerPort, PORTS, "$.callerPort")
        list.requireInRange(peerPort, PORTS, "$.peerPort")
        list.requireInRange(operatorPort, PORTS, "$.operatorPort")
        list.requireInRange(eventLoops, EVENT_LOOPS, "$.eventLoops")
        return list.problems
    }
}
