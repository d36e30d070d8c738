package fireflyhinge.gateway.forward

/** Outcome of one run at a decode replica. */
internal sealed interface DecodeOutcome {
    /** The stream was forwarded to its end. */
    data object Completed : DecodeOutcome

    /** The replica sent a response that is not a stream. */
    class OtherResponse(val response: ForwardResult.Response) : DecodeOutcome {
        override fun toString() = "status ${response.status}"
    }

    /** The replica states that it did not run the request. */
    data class NotRun(val otherReplica: Boolean) : DecodeOutcome

    /** Nothing was sent. [noBudget] is true if only because the replica is cold and this VM has no budget for it. */
    data class NotSent(val reason: String, val noBudget: Boolean = false) : DecodeOutcome

    /** The run was ended, since the first replica resumed before this one responded. */
    data object Abandoned : DecodeOutcome {
        override fun toString() = "abandoned"
    }

    /** The stream failed, or the replica became unresponsive. */
    data class Interrupted(val reason: String) : DecodeOutcome
}
