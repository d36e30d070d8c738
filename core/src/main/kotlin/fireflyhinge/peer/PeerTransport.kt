package fireflyhinge.peer

/** Sends messages to other daemons by VM id. */
interface PeerTransport {
    /**
     * Posts [message] as JSON to [path] of the control API of [vm] and decodes the answer as [reply]. Blocks for at
     * most [timeoutMillis]. A broken pooled connection is replaced by a new one once before the call fails.
     */
    fun <T : Any> post(
        vm: String,
        path: String,
        message: Any,
        reply: Class<T>,
        timeoutMillis: Long,
    ): PeerResult<T>
}
