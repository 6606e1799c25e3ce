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

/** Runs [block] with a Vert.x instance, and closes that with all its connections afterwards. */
internal fun <T> withVertx(block: suspend (Vertx) -> T): T {
    val vertx = Vertx.vertx()
    return try {
        runBlocking { block(vertx) }
    } finally {
        runBlocking { vertx.close().coAwait() }
    }
}

/** Creates a publisher on [stream] of the platform at [platform], its IP address and port. */
internal fun Vertx.publisher(
    platform: String,
    stream: String,
): Publisher {
    val client = PlatformClient(this, checkedAddress(platform), stream)
    return Publisher(client.log, client.snapshots)
}

/** Reads the state from the log or, if that fails, ends the command. */
internal suspend fun Publisher.stateOrFail(): EnvironmentState = state().getOrElse { fail(it) }

/** Publishes [change] and returns its outcome; ends the command when that is unknown or the change is not accepted. */
internal suspend fun Publisher.publishOrFail(change: EnvironmentChange): ChangeOutcome {
    val outcome = publish(change).getOrElse { fail(it, "${it.summary} The change identifier is ${change.id}.") }
    if (!outcome.accepted) {
        val code = outcome.problem?.let { ResultCode.of(it) } ?: ResultCode.RECORD_INVALID
        fail(code, "${code.summary} Generation ${outcome.generation} is in force.")
    }
    return outcome
}

/** Requests the status of the entry VM with operator address [address] or, if that fails, ends the command. */
internal suspend fun Vertx.entryStatus(address: String): EntryStatus {
    val checked = checkedAddress(address)
    val options =
        WebClientOptions()
            .setDefaultHost(checked.substringBeforeLast(':'))
            .setDefaultPort(checked.substringAfterLast(':').toInt())
            .setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS)
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

private const val CONNECT_TIMEOUT_MILLISECONDS = 2000
