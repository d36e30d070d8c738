package fireflyhinge.gateway.forward

/** What the outcome of a decode run means for the request. */
internal sealed interface DecodeStepResult {
    /** The request has its final outcome. */
    class Finished(val value: ForwardResult) : DecodeStepResult

    /** The replica did not run the request, possibly because the KV cache could not be fetched. */
    data object CacheUnavailable : DecodeStepResult

    /** The run may have started; a resumable request may continue on another replica. */
    data object MayHaveRun : DecodeStepResult

    /** The replica did not run the request. */
    data object NotRun : DecodeStepResult
}
