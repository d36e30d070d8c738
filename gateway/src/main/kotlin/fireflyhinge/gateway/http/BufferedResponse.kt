package fireflyhinge.gateway.http

import io.netty.handler.codec.http.HttpHeaders

/** A complete response of a server. */
class BufferedResponse(val status: Int, val headers: HttpHeaders, val body: ByteArray)
