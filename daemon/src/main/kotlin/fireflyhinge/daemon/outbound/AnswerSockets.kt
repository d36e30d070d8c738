package fireflyhinge.daemon.outbound

import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import javax.net.SocketFactory

/** Makes [AnswerSocket]s. */
internal object AnswerSockets : SocketFactory() {
    override fun createSocket(): Socket = AnswerSocket()

    override fun createSocket(host: String, port: Int): Socket =
        AnswerSocket().apply { connect(InetSocketAddress(host, port)) }

    override fun createSocket(host: InetAddress, port: Int): Socket =
        AnswerSocket().apply { connect(InetSocketAddress(host, port)) }

    override fun createSocket(host: String, port: Int, localHost: InetAddress, localPort: Int): Socket =
        connected(InetSocketAddress(host, port), InetSocketAddress(localHost, localPort))

    override fun createSocket(address: InetAddress, port: Int, localAddress: InetAddress, localPort: Int): Socket =
        connected(InetSocketAddress(address, port), InetSocketAddress(localAddress, localPort))

    private fun connected(remote: InetSocketAddress, local: InetSocketAddress): Socket =
        AnswerSocket().apply {
            bind(local)
            connect(remote)
        }
}
