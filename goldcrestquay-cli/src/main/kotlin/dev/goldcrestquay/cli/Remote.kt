package dev.goldcrestquay.cli

import com.github.michaelbull.result.getOrElse
import dev.goldcrestquay.contract.ChangeOutcome
import dev.goldcrestquay.contract.EnvironmentChange
import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.contract.ProblemList
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.http.EntryStatus
import dev.goldcrestquay.http.PlatformClient
import dev.goldcrestquay.machine.Publisher
import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException

/** Runs [block] with the network, and ends all connections after it. */
internal fun <T> withNetwork(block: suspend (Vertx) -> T): T {
    val vertx = Vertx.vertx()
    return try {
        runBlocking { block(vertx) }
    } finally {
        runBlocking { vertx.close().coAwait() }
    }
}

/** A publisher on [stream] of the platform at [platform]. */
internal fun Vertx.publisher(
    platform: String,
    stream: String,
): Publisher {
    val client = PlatformClient(this, checkedAddress(platform), stream)
    return Publisher(client.log, client.snapshots)
}

/** The state on the log, or the command's end. */
internal suspend fun Publisher.stateOrFail(): EnvironmentState = state().getOrElse { fail(it) }

/** Publishes [change] and says how it went. */
internal suspend fun Publisher.publishOrFail(change: EnvironmentChange): ChangeOutcome {
    val outcome = publish(change).getOrElse { fail(it, "${it.summary} The change identifier is ${change.id}.") }
    if (!outcome.accepted) {
        val code = outcome.problem?.let { ResultCode.of(it) } ?: ResultCode.RECORD_INVALID
        fail(code, "${code.summary} Generation ${outcome.generation} is in force.")
    }
    return outcome
}

/** The status that the entry VM with operator address [address] gives. */
internal suspend fun Vertx.entryStatus(address: String): EntryStatus {
    val checked = checkedAddress(address)
    val options =
        WebClientOptions()
            .setDefaultHost(checked.substringBeforeLast(':'))
            .setDefaultPort(checked.substringAfterLast(':').toInt())
            .setConnectTimeout(CONNECT_MILLISECONDS)
    return try {
        val text =
            WebClient
                .create(this, options)
                .get("/status")
                .send()
                .coAwait()
                .bodyAsString()
        Json.decodeFromString(EntryStatus.serializer(), text)
    } catch (exception: IOException) {
        fail(ResultCode.ENTRY_UNREACHABLE, "$address: ${exception.message}")
    } catch (exception: VertxException) {
        fail(ResultCode.ENTRY_UNREACHABLE, "$address: ${exception.message}")
    } catch (_: SerializationException) {
        fail(ResultCode.ENTRY_UNREACHABLE, "$address does not answer like an entry VM's operator port.")
    }
}

private fun checkedAddress(address: String): String {
    val problem = ProblemList().apply { requireAddress(address, "address") }.problems.firstOrNull()
    return if (problem == null) address else fail(problem.code, problem.detail)
}

private const val CONNECT_MILLISECONDS = 2000
