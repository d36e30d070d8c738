package fireflyhinge.gateway.http

import io.netty.handler.codec.http.HttpHeaders

/** Writes the answer to one request. Headers that concern only the connection are set by the writer. */
interface AnswerWriter {
    /** Whether bytes of the answer may have been sent. */
    val started: Boolean

    /** Writes a whole answer. */
    suspend fun whole(status: Int, headers: HttpHeaders, body: ByteArray)

    /** Begins an answer of unknown length. */
    suspend fun begin(status: Int, headers: HttpHeaders)

    /** Adds [bytes] to an answer that was begun; suspends while the caller does not read. */
    suspend fun send(bytes: ByteArray)

    /** Ends an answer that was begun. */
    suspend fun end()

    /** Closes the connection, so that an answer that was begun is seen to be incomplete. */
    fun abort()
}
