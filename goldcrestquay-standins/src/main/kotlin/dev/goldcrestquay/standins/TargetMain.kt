package dev.goldcrestquay.standins

import io.vertx.core.Vertx
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random

/**
 * Runs a stand-in for a target as a process.
 *
 * `goldcrestquay-target [--host IP] [--port N] [--version VERSION] [--slots N] [--mean MILLISECONDS] [--failing SHARE]`
 */
fun main(arguments: Array<String>) {
    val parser = ArgParser("goldcrestquay-target")
    val host by parser.option(ArgType.String, "host", description = "The IP address to listen on").default("127.0.0.1")
    val port by parser.option(ArgType.Int, "port", "p", "The port to listen on").default(9100)
    val version by parser.option(ArgType.String, "version", "v", "The version named in its answers").default("1")
    val slots by parser.option(ArgType.Int, "slots", description = "The maximum number of calls run concurrently").default(4)
    val mean by parser.option(ArgType.Double, "mean", "m", "The mean service time in milliseconds").default(10.0)
    val failureShare by parser.option(ArgType.Double, "failing", "f", "The share of calls that fail, from 0 to 1").default(0.0)
    parser.parse(arguments)
    val behaviour = TargetBehaviour(slots = slots, meanMilliseconds = mean, failureShare = failureShare)
    val server = TargetServer(Vertx.vertx(), "target-$port", version, behaviour, Random.Default, ConcurrentLinkedQueue())
    val actualPort = runBlocking { server.start(host, port) }
    println("target stand-in on $host:$actualPort")
}
