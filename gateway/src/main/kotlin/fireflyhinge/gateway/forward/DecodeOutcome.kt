package fireflyhinge.gateway.forward

/** How one run at a decode replica ended. */
internal sealed interface DecodeOutcome {
    /** The stream came to its end and was handed on. */
    data object Completed : DecodeOutcome

    /** The replica answered with something else than a stream. */
    class OtherResponse(val answer: ForwardResult.Response) : DecodeOutcome {
        override fun toString() = "status ${answer.status}"
    }

    /** The replica states that it did not run the request. */
    data class NotRun(val otherReplica: Boolean) : DecodeOutcome

    /** Nothing was sent. */
    data class NotSent(val reason: String) : DecodeOutcome

    /** The run broke off or fell silent. */
    data class Interrupted(val reason: String) : DecodeOutcome
}
