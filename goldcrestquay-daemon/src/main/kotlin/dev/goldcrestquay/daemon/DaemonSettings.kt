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
 * @property dataCentre the data centre it runs in.
 * @property host the IP number that its ports listen on.
 * @property callerPort the port for callers.
 * @property peerPort the port for other entry VMs.
 * @property operatorPort the port for operators.
 * @property platform the IP number and port of the platform's log service and VM list.
 * @property stream the environment's stream on the log.
 * @property eventLoops the threads that serve calls.
 * @property otlpEndpoint where spans are sent, as `http://10.0.0.9:4317`; null sends none.
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
        /** Reads settings, or lists every fault. */
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
