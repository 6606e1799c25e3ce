package dev.goldcrestquay.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

/** Runs the operators' command line tool and exits with the number of its [ExitCode]. */
fun main(arguments: Array<String>) {
    exitProcess(run(arguments).number)
}

/** Runs the command line [arguments] and returns its exit code. */
@OptIn(ExperimentalCli::class)
internal fun run(arguments: Array<String>): ExitCode {
    val parser = ArgParser("goldcrestquay")
    parser.subcommands(
        ValidateCommand(),
        DiffCommand(),
        PublishCommand(),
        PromoteCommand(),
        StatusCommand(),
        DataCentreCommand(),
        MoveCommand(),
        ExplainCommand(),
    )
    return try {
        parser.parse(arguments.ifEmpty { arrayOf("--help") })
        ExitCode.DONE
    } catch (exit: CommandExit) {
        exit.code
    }
}
