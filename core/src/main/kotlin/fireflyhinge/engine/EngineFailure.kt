package fireflyhinge.engine

/** Why a call to an engine failed. */
sealed interface EngineFailure {
    /**
     * No connection could be opened; nothing was sent. [refused] tells that the host answered and no process listens on
     * the port, which is evidence of a crash; a timeout or an unreachable network is not.
     */
    data class Unreachable(val reason: String, val refused: Boolean = false) : EngineFailure

    /** The engine refused before running anything, for example because its slots are full. */
    data class Refused(val status: Int, val reason: String) : EngineFailure

    /** The connection broke or no progress came before the deadline. */
    data class Broken(val reason: String) : EngineFailure

    /** The KV cache was no longer there. */
    data class Expired(val reason: String) : EngineFailure

    /** The caller left or the request was cancelled by this process. */
    data object Cancelled : EngineFailure
}
