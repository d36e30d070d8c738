package fireflyhinge.engine

import fireflyhinge.config.UpstreamRole

/**
 * Load report of an engine. Reports lag behind the true load.
 *
 * @property incarnation changes whenever the engine process restarts.
 * @property role what the engine does, or null if it does not report its state; then it gets no orders.
 * @property models models that are loaded, or null if not reported.
 * @property adapters adapters that are loaded, or null if not reported.
 * @property version version of the weights, or null if it has none.
 * @property order the last order that the engine accepted, or null if there is none since its start.
 */
data class EngineLoad(
    val incarnation: Long,
    val running: Int,
    val queuedPrefillTokens: Long,
    val slots: Int,
    val leaving: Boolean = false,
    val role: UpstreamRole? = null,
    val models: Set<String>? = null,
    val adapters: Set<String>? = null,
    val version: String? = null,
    val order: OrderProgress? = null,
)
