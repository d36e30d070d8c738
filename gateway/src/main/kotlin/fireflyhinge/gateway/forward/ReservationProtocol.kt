package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation
import io.netty.handler.codec.http.HttpHeaders

/** Encodes the calls that reserve and release slots and release KV caches at replicas. */
interface ReservationProtocol {
    /** Path and body of the `POST` call that reserves a slot with memory for [tokens] for [millis] milliseconds. */
    fun reserve(tokens: Int, millis: Long): Pair<String, ByteArray>

    /** Headers of a call to replica [id] that is not made for a caller's request. */
    fun ownHeaders(id: String): HttpHeaders

    /** The id of the reservation granted by a response with [body], or null. */
    fun reservation(body: ByteArray): String?

    /** Unix milliseconds of the start of the process that sent a response with [body], or null if not stated. */
    fun startedAt(body: ByteArray): Long?

    /** Path of the `DELETE` call that releases [reservation]. */
    fun releaseReservationPath(reservation: String): String

    /** Path of the `DELETE` call that releases [cache]. */
    fun releasePath(cache: KvCacheLocation): String
}
