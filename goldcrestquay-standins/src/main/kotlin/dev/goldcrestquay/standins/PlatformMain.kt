package dev.goldcrestquay.standins

import dev.goldcrestquay.link.asClock
import io.vertx.core.Vertx
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import kotlin.time.TimeSource

/** Runs the stand-in for the platform as a process: `goldcrestquay-platform [--host IP] [--port N]`. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("goldcrestquay-platform")
    val host by parser.option(ArgType.String, "host", description = "The IP address to listen on").default("127.0.0.1")
    val port by parser.option(ArgType.Int, "port", "p", "The port to listen on").default(9000)
    parser.parse(arguments)
    val server = runBlocking { PlatformServer(Vertx.vertx(), TimeSource.Monotonic.asClock()).start(host, port) }
    println("platform stand-in on $host:${server.actualPort()}")
}
