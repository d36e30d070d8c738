package fireflyhinge.gateway.http

/** A complete response of a server. */
class BufferedResponse(val status: Int, val body: ByteArray)
