package dev.goldcrestquay.cli

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getOrElse
import dev.goldcrestquay.contract.EnvironmentChange
import dev.goldcrestquay.contract.MoveState
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.contract.Verdict
import dev.goldcrestquay.contract.VerdictKind
import dev.goldcrestquay.http.EntryStatus
import dev.goldcrestquay.machine.Publisher
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** `status ENTRY`: shows the status of an entry VM, which is named by its operator address. */
@OptIn(ExperimentalCli::class)
internal class StatusCommand : Subcommand("status", "Show services, targets, data centres, moves and entry VMs") {
    private val entry by argument(ArgType.String, description = "The operator address of an entry VM")
    private val asJson by option(ArgType.Boolean, "json", description = "Print JSON").default(false)

    override fun execute() {
        val status = withVertx { it.entryStatus(entry) }
        if (asJson) println(Json.encodeToString(EntryStatus.serializer(), status)) else status.print()
    }
}

private fun EntryStatus.print() {
    println("entry VM $entry in $dataCentre: ${if (ready) "ready" else "not ready"}${if (leaving) ", leaving" else ""}")
    println("environment ${environment ?: "none"}, generation $generation, log ${if (logReachable) "reachable" else "not reachable"}")
    println("data centres out: ${dataCentresOut.joinToString().ifEmpty { "none" }}")
    members.forEach { println("  entry VM %-24s %-12s %-8s %s".format(it.name, it.dataCentre, it.status, it.callerAddress)) }
    moves.forEach {
        println(
            "  move ${it.name}: ${it.verdict ?: "under way"} at ${it.sharePercent} %, by ${it.deadline}${it.reason?.let { r ->
                ": $r"
            }.orEmpty()}",
        )
    }
    services.forEach { service ->
        println("  service ${service.name} on ${service.carriers.joinToString()}, lease: ${service.leaseHolder ?: "none"}")
        service.targets.forEach {
            println("    %-24s %-12s version %-8s %-9s %3d in flight".format(it.name, it.dataCentre, it.version, it.state, it.inFlight))
        }
    }
}

/** `data-centre out|back NAME`: takes a data centre out of service or brings it back. */
@OptIn(ExperimentalCli::class)
internal class DataCentreCommand : LogCommand("data-centre", "Take a data centre out, or bring it back") {
    private val direction by argument(ArgType.Choice(listOf("out", "back"), { it }), description = "out or back")
    private val dataCentre by argument(ArgType.String, "data-centre", description = "The data centre")

    override fun execute() {
        withVertx { vertx ->
            val publisher = vertx.publisher(platform, stream)
            val state = publisher.stateOrFail()
            val environment = state.environment ?: fail(ResultCode.NOT_FOUND, "The stream '$stream' holds no document.")
            val out = if (direction == "out") environment.dataCentresOut + dataCentre else environment.dataCentresOut - dataCentre
            val outcome = publisher.publishOrFail(EnvironmentChange(changeId, state.generation, dataCentresOut = out))
            println("$dataCentre is $direction from generation ${outcome.generation} on")
        }
    }
}

/** `move take-back NAME`: rolls a move back to the old version. */
@OptIn(ExperimentalCli::class)
internal class MoveCommand : LogCommand("move", "Roll a move back to the old version") {
    private val action by argument(ArgType.Choice(listOf("take-back"), { it }), description = "take-back")
    private val move by argument(ArgType.String, "move", description = "The move")

    override fun execute() {
        withVertx { vertx ->
            val publisher = vertx.publisher(platform, stream)
            val progress = publisher.moveOrFail()
            if (progress.verdict != null) fail(ResultCode.MOVE_DECIDED, "$move: ${progress.verdict?.reason}")
            val verdict = Verdict(move, progress.started, VerdictKind.TAKEN_BACK, "an operator took it back ($action)", "operator")
            val first = publisher.append(verdict) { publisher.moveOrFail().verdict?.let { Ok(it) } }.getOrElse { fail(it) }
            if (first.kind != VerdictKind.TAKEN_BACK) fail(ResultCode.MOVE_DECIDED, "$move finished first: ${first.reason}")
            println("$move is rolled back")
        }
    }

    private suspend fun Publisher.moveOrFail(): MoveState = stateOrFail().moves[move] ?: fail(ResultCode.NOT_FOUND, "No move '$move'.")
}

@Serializable
private data class CodeLine(
    val code: Int,
    val name: String,
    val kind: String,
    val summary: String,
    val action: String,
)

/** `explain CODE`: shows what a result code means and what to do about it. */
@OptIn(ExperimentalCli::class)
internal class ExplainCommand : Subcommand("explain", "Explain a result code") {
    private val number by argument(ArgType.Int, description = "The code")
    private val asJson by option(ArgType.Boolean, "json", description = "Print JSON").default(false)

    override fun execute() {
        val code = ResultCode.of(number) ?: fail(ResultCode.BAD_ARGUMENT, "No result code $number.")
        if (asJson) {
            println(Json.encodeToString(CodeLine.serializer(), CodeLine(code.number, code.name, code.kind.name, code.summary, code.action)))
        } else {
            println("${code.number} ${code.name}: ${code.summary}\n${code.action}")
        }
    }
}
