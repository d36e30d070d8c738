package fireflyhinge.engine

/** Result of a call to an engine. */
sealed interface EngineResult<out T> {
    /** The engine returned [value]. */
    data class Ok<T>(val value: T) : EngineResult<T>

    /** The call failed. */
    data class Failed(val failure: EngineFailure) : EngineResult<Nothing>
}
