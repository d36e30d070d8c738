package fireflyhinge.gateway.forward

/** What a run at a decode replica means for the request. */
internal sealed interface DecodeStepResult {
    /** The request has its outcome. */
    class Finished(val value: ForwardResult) : DecodeStepResult

    /** The replica did not run the request, perhaps because it could not fetch the cache. */
    data object CacheUnavailable : DecodeStepResult

    /** The run may have begun; the request may go on failover if it is resumable. */
    data object MayHaveRun : DecodeStepResult

    /** The replica did not run the request. */
    data object NotRun : DecodeStepResult
}
