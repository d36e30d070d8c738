package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.ConnectionPool
import fireflyhinge.gateway.http.OutboundConnection

/** One request to [state]'s replica on a connection from [pool]. Must be used or closed. */
internal class ReplicaExchange(
    private val pool: ConnectionPool,
    private val state: ReplicaState,
    private val tokens: Int,
    val connection: OutboundConnection,
) {
    private var ended = false

    /** Runs [block]. The connection is reused if it returns [ReadResult.Complete], and closed otherwise. */
    suspend fun <T> use(block: suspend (OutboundConnection) -> ReadResult<T>): T {
        var complete = false
        try {
            val result = block(connection)
            complete = result is ReadResult.Complete
            return result.value
        } finally {
            end(complete)
        }
    }

    /** Closes the connection, which ends a run in progress, unless the exchange has ended. */
    fun close() = end(complete = false)

    private fun end(complete: Boolean) {
        if (ended) return
        ended = true
        state.requestEnded(tokens)
        if (complete) pool.release(connection) else connection.close()
    }
}
