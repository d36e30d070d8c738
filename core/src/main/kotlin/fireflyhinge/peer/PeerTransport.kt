package fireflyhinge.peer

/** Sends messages to other daemons by VM id. */
interface PeerTransport {
    /**
     * Posts [message] as JSON to [path] of the control API of [vm] and decodes the reply as [reply]. Blocks for at
     * most [timeoutMillis]. If a pooled connection fails, the call is retried once on a new connection.
     */
    fun <T : Any> post(
        vm: String,
        path: String,
        message: Any,
        reply: Class<T>,
        timeoutMillis: Long,
    ): PeerResult<T>
}
