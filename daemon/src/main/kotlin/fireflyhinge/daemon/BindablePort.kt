package fireflyhinge.daemon

import fireflyhinge.daemon.settings.HostPort
import java.net.InetAddress
import java.net.ServerSocket

/** This address with port 0 replaced by a free port, because peers have to be told the port before it is bound. */
internal fun HostPort.bindable(): HostPort {
    if (port != 0) return this
    return ServerSocket(0, 1, InetAddress.getByName(host)).use { copy(port = it.localPort) }
}
