package dev.goldcrestquay.standins

import io.vertx.core.Vertx
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random

/** Runs a target stand-in as a process: `goldcrestquay-target [--port N] [--slots N] [--mean MILLISECONDS]`. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("goldcrestquay-target")
    val host by parser.option(ArgType.String, "host", description = "The IP number to listen on").default("127.0.0.1")
    val port by parser.option(ArgType.Int, "port", "p", "The port").default(9100)
    val version by parser.option(ArgType.String, "version", "v", "The version it answers with").default("1")
    val slots by parser.option(ArgType.Int, "slots", description = "The calls run at once").default(4)
    val mean by parser.option(ArgType.Double, "mean", "m", "The mean service time in milliseconds").default(10.0)
    val failing by parser.option(ArgType.Double, "failing", "f", "The share of calls that fail").default(0.0)
    parser.parse(arguments)
    val behaviour = TargetBehaviour(slots = slots, meanMilliseconds = mean, failureShare = failing)
    val server = TargetServer(Vertx.vertx(), "target-$port", version, behaviour, Random.Default, ConcurrentLinkedQueue())
    val actualPort = runBlocking { server.start(host, port) }
    println("target stand-in on $host:$actualPort")
}
