package fireflyhinge.gateway.forward

import fireflyhinge.forward.PrefilledCache
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.ConnectionPool
import fireflyhinge.gateway.http.Io
import fireflyhinge.gateway.http.OutboundRequests
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Calls to replicas that carry no request of a caller: places and KV caches are reserved and given up. */
internal class ReplicaCalls(
    private val io: Io,
    private val pool: ConnectionPool,
    private val dialect: PlaceDialect,
) {
    /** Asks the replica to keep a place with memory for [tokens]. */
    suspend fun reserve(state: ReplicaState, tokens: Int): Reservation {
        val (path, body) = dialect.reserve(tokens, RESERVATION_MILLIS)
        val answer =
            try {
                withTimeoutOrNull(RESERVE_PATIENCE_MILLIS) {
                    own(state.replica.address, "POST", path, dialect.own(state.replica.id), body)
                }
            } catch (e: IOException) {
                return Reservation.NoAnswer(e.message.orEmpty())
            }
        return when (answer?.first) {
            null -> Reservation.NoAnswer("silent for $RESERVE_PATIENCE_MILLIS ms")
            OK -> dialect.reservation(answer.second)?.let { Reservation.Granted(it) } ?: Reservation.Unsupported
            FULL -> Reservation.Full
            MISDIRECTED -> Reservation.NoAnswer("another replica has the address")
            else -> Reservation.Unsupported
        }
    }

    /** Gives up a place that no request will take. */
    fun unreserve(state: ReplicaState, reservation: String) =
        forget(state.replica.address, dialect.unreservePath(reservation), dialect.own(state.replica.id))

    /** Frees a KV cache that nobody will fetch. */
    fun release(cache: PrefilledCache) = forget(cache.address, dialect.releasePath(cache), DefaultHttpHeaders())

    /** Nobody waits for the answer; replicas end by themselves what is not given up. */
    private fun forget(address: String, path: String, headers: HttpHeaders) {
        io.scope.launch {
            try {
                withTimeoutOrNull(FORGET_MILLIS) { own(address, "DELETE", path, headers, ByteArray(0)) }
            } catch (e: IOException) {
                log.debug("{} was not given up: {}", path, e.message)
            }
        }
    }

    private suspend fun own(
        address: String,
        method: String,
        path: String,
        headers: HttpHeaders,
        body: ByteArray,
    ): Pair<Int, ByteArray> {
        val connection = pool.acquire(address)
        var whole = false
        try {
            connection.send(OutboundRequests.of(method, path, headers, body))
            val head = connection.head()
            val answer = ByteArrayOutputStream()
            while (true) answer.writeBytes(connection.body() ?: break)
            whole = true
            return head.status().code() to answer.toByteArray()
        } finally {
            if (whole) pool.release(connection) else connection.close()
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(ReplicaCalls::class.java)

        const val OK = 200
        const val MISDIRECTED = 421
        const val FULL = 503

        /** KV caches lapse by themselves after half a second. */
        const val FORGET_MILLIS = 500L

        /** Longest time that replicas keep a place; a prompt is read within it. */
        const val RESERVATION_MILLIS = 2_000L

        /** Twice the round trip between regions; replicas answer at once. */
        const val RESERVE_PATIENCE_MILLIS = 120L
    }
}
