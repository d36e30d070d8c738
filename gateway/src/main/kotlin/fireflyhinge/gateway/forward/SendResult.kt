package fireflyhinge.gateway.forward

import io.netty.handler.codec.http.HttpHeaders

/** Outcome of a request sent to a replica. */
internal sealed interface SendResult {
    /** The replica sent a complete response. */
    class Responded(
        val status: Int,
        val headers: HttpHeaders,
        val metadata: ReplicaResponseMetadata,
        val body: ByteArray,
    ) : SendResult

    /** Nothing was sent. [noBudget] is true if only because the replica is cold and this VM has no budget for it. */
    data class NotSent(val reason: String, val noBudget: Boolean = false) : SendResult

    /**
     * The request was sent, but no complete response was received; it may have run. [brokenOff] is true if the replica
     * closed the connection, and false if it took too long.
     */
    data class NoResponse(val reason: String, val brokenOff: Boolean = false) : SendResult
}
