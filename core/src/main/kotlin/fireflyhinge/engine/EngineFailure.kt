package fireflyhinge.engine

/** Why a call to an engine failed. */
sealed interface EngineFailure {
    /**
     * No connection could be opened; nothing was sent. [refused] is true if the VM responded but no process listens on
     * the port, which is evidence of a crash; a timeout or an unreachable network is not.
     */
    data class Unreachable(val reason: String, val refused: Boolean = false) : EngineFailure

    /** The engine rejected the call before running anything, for example because all slots are in use. */
    data class Refused(val status: Int, val reason: String) : EngineFailure

    /** The connection failed after the call was sent, or there was no progress before the deadline. */
    data class Broken(val reason: String) : EngineFailure

    /** The engine no longer had the KV cache. */
    data class Expired(val reason: String) : EngineFailure

    /** The caller disconnected or this process cancelled the request. */
    data object Cancelled : EngineFailure
}
