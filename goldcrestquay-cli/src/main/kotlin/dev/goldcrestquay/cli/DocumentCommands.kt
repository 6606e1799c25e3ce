package dev.goldcrestquay.cli

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import dev.goldcrestquay.contract.Environment
import dev.goldcrestquay.contract.EnvironmentChange
import dev.goldcrestquay.contract.JsonDocument
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.changeBetween
import dev.goldcrestquay.contract.readEnvironment
import dev.goldcrestquay.machine.Publisher
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.UUID

/** A command that reads or writes an environment's stream on the platform's log. */
@OptIn(ExperimentalCli::class)
internal abstract class LogCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    protected val platform by option(ArgType.String, "platform", "p", "The platform's IP address and port").required()
    protected val stream by option(ArgType.String, "stream", "s", "The environment's stream").required()
    protected val id by option(ArgType.String, "id", description = "The change identifier, to finish an earlier command")

    protected val changeId: String by lazy { id ?: UUID.randomUUID().toString() }
}

@Serializable
private data class ValidationLine(
    val code: Int,
    val path: String,
    val detail: String,
)

/** `validate FILE`: lists every problem of a document. */
@OptIn(ExperimentalCli::class)
internal class ValidateCommand : Subcommand("validate", "Check a document and list every problem") {
    private val file by argument(ArgType.String, description = "The JSON document")
    private val asJson by option(ArgType.Boolean, "json", description = "Print JSON").default(false)

    override fun execute() {
        readEnvironment(readFile(file)).fold(
            success = {
                println(
                    if (asJson) {
                        "[]"
                    } else {
                        "$file is valid: ${it.services.size} services, ${it.services.sumOf { s -> s.targets.size }} targets"
                    },
                )
            },
            failure = { problems ->
                if (!asJson) fail(problems)
                println(Json.encodeToString(problems.map { ValidationLine(it.code.number, it.path, it.detail) }))
                throw CommandExit(ExitCode.BAD_INPUT)
            },
        )
    }
}

/** `diff FILE`: shows what publishing a document would change. */
@OptIn(ExperimentalCli::class)
internal class DiffCommand : LogCommand("diff", "Show what a document would change") {
    private val file by argument(ArgType.String, description = "The JSON document")
    private val asJson by option(ArgType.Boolean, "json", description = "Print the change as JSON").default(false)

    override fun execute() {
        val document = readDocument(file)
        val change =
            withVertx { vertx ->
                val state = vertx.publisher(platform, stream).stateOrFail()
                changeBetween("diff", state.generation, state.environment, document)
            }
        if (asJson) println(JsonDocument.write(change, EnvironmentChange.serializer())) else change.print()
        if (!change.isEmpty) throw CommandExit(ExitCode.REFUSED)
    }
}

/**
 * `publish FILE`: puts a document in force, unless another change was accepted after the generation that it was made from.
 *
 * With `--restart`, it is put in force whatever the log holds.
 */
@OptIn(ExperimentalCli::class)
internal class PublishCommand : LogCommand("publish", "Put a document in force") {
    private val file by argument(ArgType.String, description = "The JSON document")
    private val base by option(ArgType.Int, "base", "b", "The generation that the document was made from; default: the one in force")

    private val restart by option(
        ArgType.Boolean,
        "restart",
        description = "Start over from this document; only for a log that lost records before any entry VM had read them",
    ).default(false)

    override fun execute() {
        val document = readDocument(file)
        withVertx { vertx ->
            val publisher = vertx.publisher(platform, stream)
            if (restart) restart(publisher, document) else publish(publisher, document)
        }
    }

    private suspend fun restart(
        publisher: Publisher,
        document: Environment,
    ) {
        val outcome = publisher.restart(changeId, document).getOrElse { fail(it, "${it.summary} The change identifier is $changeId.") }
        println("restarted with generation ${outcome.generation}")
    }

    private suspend fun publish(
        publisher: Publisher,
        document: Environment,
    ) {
        val state = publisher.stateOrFail()
        val change = changeBetween(changeId, base?.toLong() ?: state.generation, state.environment, document)
        if (change.isEmpty) return println("nothing to change: generation ${state.generation} is in force")
        val outcome = publisher.publishOrFail(change)
        println("generation ${outcome.generation} accepted, change ${change.id}")
    }
}

/** `promote --to STREAM`: publishes the document that is in force in one environment to another environment. */
@OptIn(ExperimentalCli::class)
internal class PromoteCommand : LogCommand("promote", "Publish the document of one environment in another") {
    private val toStream by option(ArgType.String, "to", description = "The stream of the other environment").required()

    override fun execute() {
        withVertx { vertx ->
            val source = vertx.publisher(platform, stream).stateOrFail()
            val document = source.environment ?: fail(ResultCode.NOT_FOUND, "The stream '$stream' holds no document.")
            val publisher = vertx.publisher(platform, toStream)
            val state = publisher.stateOrFail()
            val promoted = document.copy(name = state.environment?.name ?: toStream)
            val outcome = publisher.publishOrFail(changeBetween(changeId, state.generation, state.environment, promoted))
            println("generation ${source.generation} of $stream promoted: generation ${outcome.generation} of $toStream accepted")
        }
    }
}

private fun readDocument(file: String): Environment = readEnvironment(readFile(file)).getOrElse { fail(it) }

private val EnvironmentChange.isEmpty: Boolean
    get() = this == EnvironmentChange(id, base)

private fun EnvironmentChange.print() {
    if (isEmpty) return println("no difference from generation $base")
    println("changes against generation $base:")
    name?.let { println("  name: $it") }
    regions?.let { println("  regions: ${it.joinToString { region -> region.name }}") }
    services.forEach { (name, service) ->
        println("  service $name: ${if (service == null) "removed" else "set, ${service.targets.size} targets"}")
    }
    dataCentresOut?.let { println("  data centres out: ${it.joinToString().ifEmpty { "none" }}") }
    moves.forEach { (name, move) ->
        println("  move $name: ${if (move == null) "removed" else "to ${move.toVersion} by ${move.deadline}"}")
    }
    measuring?.let { println("  probes per target and second: ${it.probesPerSecond}") }
}
