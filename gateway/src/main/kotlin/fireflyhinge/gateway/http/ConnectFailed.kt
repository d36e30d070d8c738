package fireflyhinge.gateway.http

import java.io.IOException

/** No connection could be opened, so nothing was sent. [refused] says that no process listens at the address. */
class ConnectFailed(message: String, val refused: Boolean) : IOException(message)
