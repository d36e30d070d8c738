package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation

/** What became of reading a prompt. */
internal sealed interface PrefillResult {
    /** A prefill replica holds [cache]. */
    data class Completed(val cache: KvCacheLocation) : PrefillResult

    /** No prefill replica is listed near the decode replica. */
    data object NoReplica : PrefillResult

    /** The prefill replicas that were tried gave no cache. */
    data object Failed : PrefillResult
}
