package fireflyhinge.gateway.forward

import fireflyhinge.forward.PrefilledCache

/** What became of reading a prompt. */
internal sealed interface PrefillResult {
    /** A prefill replica holds [cache]. */
    data class Completed(val cache: PrefilledCache) : PrefillResult

    /** No prefill replica is listed near the decode replica. */
    data object NoReplica : PrefillResult

    /** The prefill replicas that were tried gave no cache. */
    data object Failed : PrefillResult
}
