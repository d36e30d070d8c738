package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation
import io.netty.handler.codec.http.HttpHeaders

/** Encodes requests to replicas and decodes their responses. */
interface ReplicaProtocol {
    /** Headers of the request to a replica, derived from a caller's [headers] and from [call]. */
    fun request(headers: HttpHeaders, call: ReplicaRequestOptions): HttpHeaders

    /** Id of the caller's request with [headers]. */
    fun requestId(headers: HttpHeaders): String?

    /** Metadata in the head of a response. */
    fun reply(status: Int, headers: HttpHeaders): ReplicaResponseMetadata

    /** Headers of the response to the caller, derived from a replica's [headers]. */
    fun toCaller(headers: HttpHeaders): HttpHeaders

    /** The KV cache of a prefill at [address], or null if the response's [body] names none. */
    fun cache(address: String, body: ByteArray): KvCacheLocation?
}
