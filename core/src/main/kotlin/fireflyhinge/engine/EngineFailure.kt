package fireflyhinge.engine

/** Why a call to an engine failed. */
sealed interface EngineFailure {
    /** No connection could be opened; nothing was sent. */
    data class Unreachable(val reason: String) : EngineFailure

    /** The engine refused before running anything, for example because its slots are full. */
    data class Refused(val status: Int, val reason: String) : EngineFailure

    /** The connection broke or no progress came before the deadline. */
    data class Broken(val reason: String) : EngineFailure

    /** The KV cache was no longer there. */
    data class Expired(val reason: String) : EngineFailure

    /** The caller left or the request was cancelled by this process. */
    data object Cancelled : EngineFailure
}
