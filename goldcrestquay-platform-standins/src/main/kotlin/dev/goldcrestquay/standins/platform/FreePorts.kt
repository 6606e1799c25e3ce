package dev.goldcrestquay.standins.platform

import java.io.IOException
import java.net.ServerSocket
import kotlin.random.Random

/** Ports that systems do not usually give to outgoing connections, which could take them between the check and their use. */
private val PORTS = 10_000..32_000

/** Returns the first of four consecutive ports that were free when checked; another process may take them before they are used. */
internal fun findFreePorts(): Int {
    while (true) {
        val first = Random.nextInt(PORTS.first, PORTS.last - DIRECTORY_PORT_OFFSET)
        if ((first..first + DIRECTORY_PORT_OFFSET).all(::isFree)) return first
    }
}

private fun isFree(port: Int): Boolean =
    try {
        ServerSocket(port).close()
        true
    } catch (_: IOException) {
        false
    }
