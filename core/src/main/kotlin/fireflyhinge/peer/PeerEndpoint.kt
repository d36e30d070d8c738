package fireflyhinge.peer

/**
 * A message handler that a daemon serves on its control API under [path]. [handle] blocks the server's thread and
 * returns the reply, which is encoded as JSON.
 */
class PeerEndpoint<T : Any>(val path: String, val type: Class<T>, val handle: (T) -> Any)
