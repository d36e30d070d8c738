package fireflyhinge.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/** Where gateway [index] listens: an address of loopback of its own and five ports that are free there. */
internal class GatewayAddress(val index: Int) {
    val host = "127.0.0.${FIRST_HOST + index}"
    private val ports = generateSequence { PORTS.random(Random.Default) }.distinct().filter(::free).take(COUNT).toList()
    val front = ports[0]
    val ready = ports[1]
    val control = ports[2]
    val directory = ports[3]
    val metrics = ports[4]

    private fun free(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getByName(host)).use { true }
        } catch (_: IOException) {
            false
        }

    private companion object {
        const val FIRST_HOST = 11
        const val COUNT = 5

        /** Below the ports that the system gives to outgoing connections. */
        val PORTS = 15_000..31_999
    }
}
