package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation
import io.netty.handler.codec.http.HttpHeaders

/** Writes requests to replicas and reads their answers. */
interface ReplicaProtocol {
    /** Headers of the request that a replica gets for a caller's request with [headers]. */
    fun request(headers: HttpHeaders, call: ReplicaRequestOptions): HttpHeaders

    /** Id of the caller's request with [headers]. */
    fun requestId(headers: HttpHeaders): String?

    /** What the head of an answer says. */
    fun reply(status: Int, headers: HttpHeaders): ReplicaResponseMetadata

    /** Headers that a caller gets for an answer with [headers]. */
    fun toCaller(headers: HttpHeaders): HttpHeaders

    /** The KV cache that a prefill at [address] left, or null if [body] does not name one. */
    fun cache(address: String, body: ByteArray): KvCacheLocation?
}
