package fireflyhinge.daemon.outbound

/** A complete answer. */
internal data class HttpReply(val status: Int, val body: String)
