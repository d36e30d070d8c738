package fireflyhinge.gateway.http

/** A whole answer of a server. */
class HttpReply(val status: Int, val body: ByteArray)
