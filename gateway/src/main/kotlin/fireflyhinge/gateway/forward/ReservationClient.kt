package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.AnswerMatch
import fireflyhinge.gateway.http.AnswerMatcher
import fireflyhinge.gateway.http.ConnectionPool
import fireflyhinge.gateway.http.HttpCalls
import fireflyhinge.gateway.http.Io
import fireflyhinge.gateway.http.RepeatedAnswer
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException

/** Calls to replicas that carry no request of a caller: places and KV caches are reserved and given up. */
internal class ReservationClient(
    private val io: Io,
    pool: ConnectionPool,
    private val protocol: ReservationProtocol,
    private val replies: ReplicaProtocol,
) {
    private val calls = HttpCalls(pool, Matcher())

    /** Asks the replica to keep a place with memory for [tokens]; once more if an earlier answer came a second time. */
    suspend fun reserve(state: ReplicaState, tokens: Int): Reservation =
        try {
            try {
                ask(state, tokens) { it ?: throw RepeatedAnswer("no place in an answer that grants one") }
            } catch (e: RepeatedAnswer) {
                log.atInfo().addKeyValue("replica", state.replica.id).log("a call was answered twice: {}", e.message)
                ask(state, tokens) { it }
            }
        } catch (e: IOException) {
            Reservation.NoResponse(e.message.orEmpty())
        }

    /** [check] is given the place that an answer grants, and throws if the answer cannot be that to this call. */
    private suspend fun ask(state: ReplicaState, tokens: Int, check: (String?) -> String?): Reservation {
        val (path, body) = protocol.reserve(tokens, RESERVATION_MILLIS)
        val answer =
            calls.call(
                address = state.replica.address,
                method = "POST",
                path = path,
                body = body,
                headers = protocol.ownHeaders(state.replica.id),
                millis = RESERVE_PATIENCE_MILLIS,
                gives = { reply -> if (reply.status == OK) check(protocol.reservation(reply.body)) else null },
            )
        return when (answer.status) {
            OK -> protocol.reservation(answer.body)?.let { Reservation.Granted(it) } ?: Reservation.Unsupported
            FULL -> Reservation.Full
            MISDIRECTED -> Reservation.NoResponse("another replica has the address")
            else -> Reservation.Unsupported
        }
    }

    /** Gives up a place that no request will take. */
    fun unreserve(state: ReplicaState, reservation: String) =
        forget(
            address = state.replica.address,
            path = protocol.releaseReservationPath(reservation),
            headers = protocol.ownHeaders(state.replica.id),
        )

    /** Frees a KV cache that nobody will fetch. */
    fun release(cache: KvCacheLocation) = forget(cache.address, protocol.releasePath(cache), DefaultHttpHeaders())

    /** Replicas echo the ids of callers' requests only, so an answer with an id is none to these calls. */
    private inner class Matcher : AnswerMatcher {
        override fun requestId(head: HttpResponse): String? =
            replies.reply(head.status().code(), head.headers()).requestId

        override fun match(head: HttpResponse): AnswerMatch =
            if (requestId(head) == null) AnswerMatch.OWN else AnswerMatch.EARLIER
    }

    /** Nobody waits for the answer; replicas end by themselves what is not given up. */
    private fun forget(address: String, path: String, headers: HttpHeaders) {
        io.scope.launch {
            try {
                calls.call(address, "DELETE", path, headers = headers, millis = FORGET_MILLIS)
            } catch (e: IOException) {
                log.debug("{} was not given up: {}", path, e.message)
            }
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(ReservationClient::class.java)

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
