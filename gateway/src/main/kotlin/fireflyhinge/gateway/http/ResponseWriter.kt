package fireflyhinge.gateway.http

import io.netty.handler.codec.http.HttpHeaders

/** Writes the response to one request. The writer itself sets the headers that concern only the connection. */
interface ResponseWriter {
    /** Whether bytes of the response may have been sent. */
    val started: Boolean

    /** Whether the last bytes of the response were handed to the connection; the caller may have all of it. */
    val complete: Boolean

    /** Writes a complete response. */
    suspend fun respond(status: Int, headers: HttpHeaders, body: ByteArray)

    /** Starts a response of unknown length. */
    suspend fun start(status: Int, headers: HttpHeaders)

    /** Appends [bytes] to a started response; suspends while the caller does not read. */
    suspend fun write(bytes: ByteArray)

    /** Completes a started response. */
    suspend fun finish()

    /** Closes the connection, so that the caller detects a response that is not [complete] as truncated. */
    fun abort()
}
