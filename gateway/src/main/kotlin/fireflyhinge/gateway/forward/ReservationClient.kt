package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.BufferedResponse
import fireflyhinge.gateway.http.ConnectionPool
import fireflyhinge.gateway.http.DuplicateResponseException
import fireflyhinge.gateway.http.HttpClient
import fireflyhinge.gateway.http.IoLoop
import fireflyhinge.gateway.http.ResponseMatch
import fireflyhinge.gateway.http.ResponseMatcher
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException

/** Reserves and releases slots at replicas, and releases KV caches. */
internal class ReservationClient(
    private val io: IoLoop,
    pool: ConnectionPool,
    private val protocol: ReservationProtocol,
    private val replies: ReplicaProtocol,
    private val notices: ReplicaNotices,
) {
    private val calls = HttpClient(pool, Matcher())

    /**
     * Reserves a slot with memory for [tokens], or fails after [timeoutMillis]. Retries once if a duplicate of an
     * earlier response was received.
     */
    suspend fun reserve(state: ReplicaState, tokens: Int, timeoutMillis: Long): Reservation =
        try {
            try {
                tryReserve(state, tokens, timeoutMillis) {
                    it ?: throw DuplicateResponseException("response grants no reservation id")
                }
            } catch (e: DuplicateResponseException) {
                log.atInfo().addKeyValue("replica", state.replica.id)
                    .log("duplicate response to an earlier call; reserving again: {}", e.message)
                tryReserve(state, tokens, timeoutMillis) { it }
            }
        } catch (e: IOException) {
            Reservation.NoResponse(e.message.orEmpty())
        }

    /** [check] gets the reservation id of a granting response; it throws if the response belongs to another call. */
    private suspend fun tryReserve(
        state: ReplicaState,
        tokens: Int,
        timeoutMillis: Long,
        check: (String?) -> String?,
    ): Reservation {
        val (path, body) = protocol.reserve(tokens, RESERVATION_TTL_MILLIS)
        val response =
            calls.call(
                address = state.replica.address,
                method = "POST",
                path = path,
                body = body,
                headers = protocol.ownHeaders(state.replica.id),
                timeoutMillis = timeoutMillis,
                issuedId = { reply -> if (reply.status == OK) check(protocol.reservation(reply.body)) else null },
            )
        record(state, response)
        if (response.status == OK && isOtherProcess(state, response)) {
            return Reservation.NoResponse("another process has this id")
        }
        return when (response.status) {
            OK -> protocol.reservation(response.body)?.let { Reservation.Granted(it) } ?: Reservation.Unsupported
            FULL -> Reservation.Full
            MISDIRECTED -> Reservation.NoResponse("address belongs to another replica")
            else -> Reservation.Unsupported
        }
    }

    /** A replica that starts again under its id may have other software than the one listed. */
    private fun isOtherProcess(state: ReplicaState, response: BufferedResponse): Boolean {
        val listed = state.replica.startedAt
        return listed > 0 && protocol.startedAt(response.body).let { it != null && it != listed }
    }

    private fun record(state: ReplicaState, response: BufferedResponse) =
        notices.record(state, replies.reply(response.status, response.headers))

    /** Releases a reservation that no request will use. That frees capacity, so it is also sent to a busy replica. */
    fun releaseReservation(state: ReplicaState, reservation: String) =
        sendDetached(
            address = state.replica.address,
            path = protocol.releaseReservationPath(reservation),
            headers = protocol.ownHeaders(state.replica.id),
            onResponse = { record(state, it) },
        )

    /** Releases a KV cache that no replica will fetch. */
    fun release(cache: KvCacheLocation) = sendDetached(cache.address, protocol.releasePath(cache), DefaultHttpHeaders())

    /** Replicas echo only the ids of callers' requests, so a response with an id does not belong to these calls. */
    private inner class Matcher : ResponseMatcher {
        override fun requestId(head: HttpResponse): String? =
            replies.reply(head.status().code(), head.headers()).requestId

        override fun match(head: HttpResponse): ResponseMatch =
            if (requestId(head) == null) ResponseMatch.CURRENT else ResponseMatch.EARLIER
    }

    /** Sends a release without waiting for the response. If it is lost, the reservation or cache expires by itself. */
    private fun sendDetached(
        address: String,
        path: String,
        headers: HttpHeaders,
        onResponse: (BufferedResponse) -> Unit = {},
    ) {
        io.scope.launch {
            try {
                onResponse(
                    calls.call(address, "DELETE", path, headers = headers, timeoutMillis = RELEASE_TIMEOUT_MILLIS),
                )
            } catch (e: IOException) {
                log.debug("release {} failed: {}", path, e.message)
            }
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(ReservationClient::class.java)

        const val OK = 200
        const val MISDIRECTED = 421
        const val FULL = 503

        /** KV caches expire by themselves after 500 ms. */
        const val RELEASE_TIMEOUT_MILLIS = 500L

        /** Maximum that replicas allow; enough for a prefill. */
        const val RESERVATION_TTL_MILLIS = 2_000L
    }
}
