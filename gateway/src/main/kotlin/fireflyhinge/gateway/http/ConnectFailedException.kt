package fireflyhinge.gateway.http

import java.io.IOException

/** No connection could be opened, so nothing was sent. [refused] is true if no process listens at the address. */
class ConnectFailedException(message: String, val refused: Boolean) : IOException(message)
