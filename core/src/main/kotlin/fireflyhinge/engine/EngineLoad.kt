package fireflyhinge.engine

/**
 * Load report of an engine. Reports lag behind the true load.
 *
 * @property incarnation changes whenever the engine process restarts.
 */
data class EngineLoad(
    val incarnation: Long,
    val running: Int,
    val queuedPrefillTokens: Long,
    val slots: Int,
    val leaving: Boolean = false,
)
