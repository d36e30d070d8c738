package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation

/** Outcome of a prefill. */
internal sealed interface PrefillResult {
    /** A prefill replica holds [cache]. */
    data class Completed(val cache: KvCacheLocation) : PrefillResult

    /** No prefill replica is listed near the decode replica. */
    data object NoReplica : PrefillResult

    /** None of the prefill replicas that were tried returned a KV cache. */
    data object Failed : PrefillResult
}
