package fireflyhinge.daemon.caller

import fireflyhinge.engine.EngineFailure

/** How one attempt at a model request ended. */
internal sealed interface AttemptResult {
    /** The answer is complete. [ended] tells that the engine sent its explicit end and so holds nothing more. */
    data class Done(val finishReason: String, val ended: Boolean) : AttemptResult

    /**
     * The replica [replica] at [address] failed; another attempt may succeed and should not use [avoid].
     *
     * @property transfer whether the KV cache did not reach the decode replica in time.
     */
    data class Failed(
        val replica: String,
        val address: String,
        val failure: EngineFailure,
        val avoid: Set<String> = setOf(replica),
        val transfer: Boolean = false,
    ) : AttemptResult

    /** The replica [replica] is leaving and must not get the request, of which it holds nothing yet. */
    data class Leaving(val replica: String) : AttemptResult

    /** The ticket expired before the attempt ended; the slot may be given to another request. */
    data object TicketExpired : AttemptResult

    /** The key was withdrawn. */
    data object KeyWithdrawn : AttemptResult

    /** The caller left. */
    data object Departed : AttemptResult
}
