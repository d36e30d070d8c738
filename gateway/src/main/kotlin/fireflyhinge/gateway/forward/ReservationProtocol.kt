package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation
import io.netty.handler.codec.http.HttpHeaders

/** Writes the calls by which places and KV caches at replicas are reserved and given up. */
interface ReservationProtocol {
    /** Path and body of the `POST` call that reserves a place with memory for [tokens] during [millis]. */
    fun reserve(tokens: Int, millis: Long): Pair<String, ByteArray>

    /** Headers of a call to replica [id] that concerns no request of a caller. */
    fun ownHeaders(id: String): HttpHeaders

    /** The id of the place that an answer with [body] grants, or null. */
    fun reservation(body: ByteArray): String?

    /** Path of the `DELETE` call that gives up the place [reservation]. */
    fun releaseReservationPath(reservation: String): String

    /** Path of the `DELETE` call that frees [cache]. */
    fun releasePath(cache: KvCacheLocation): String
}
