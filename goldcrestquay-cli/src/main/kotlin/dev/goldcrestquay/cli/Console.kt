package dev.goldcrestquay.cli

import dev.goldcrestquay.contract.Problem
import dev.goldcrestquay.contract.ResultCode
import java.io.File
import java.io.IOException

/** Thrown to end a command with the exit code [code]; its message has been printed before. */
internal class CommandExit(
    val code: ExitCode,
) : RuntimeException()

/** Prints [code] with [detail] on standard error and ends the command with the exit code for [code]. */
internal fun fail(
    code: ResultCode,
    detail: String = code.summary,
): Nothing {
    System.err.println("${code.number} $detail")
    System.err.println(code.action)
    throw CommandExit(code.exitCode)
}

/** Prints all problems of a document on standard error and ends the command with [ExitCode.BAD_INPUT]. */
internal fun fail(problems: List<Problem>): Nothing {
    problems.forEach(System.err::println)
    throw CommandExit(ExitCode.BAD_INPUT)
}

/** Reads the file at [path] or, if that fails, ends the command. */
internal fun readFile(path: String): String =
    try {
        File(path).readText()
    } catch (exception: IOException) {
        fail(ResultCode.UNREADABLE_FILE, exception.message.orEmpty())
    }

private val ResultCode.exitCode: ExitCode
    get() =
        when (this) {
            ResultCode.LOG_UNREACHABLE, ResultCode.ENTRY_UNREACHABLE, ResultCode.LOG_THROTTLED -> ExitCode.UNREACHABLE
            ResultCode.OUTCOME_OPEN -> ExitCode.OUTCOME_OPEN
            ResultCode.UNREADABLE_FILE, ResultCode.BAD_ARGUMENT, ResultCode.BAD_ADDRESS -> ExitCode.BAD_INPUT
            else -> ExitCode.REFUSED
        }
