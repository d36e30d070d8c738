package fireflyhinge.engine

import fireflyhinge.config.UpstreamRole

/**
 * Load report of an engine. Reports lag behind the actual load.
 *
 * @property incarnation changes whenever the engine process restarts.
 * @property role role of the engine, or null if it does not report its state; then it gets no orders.
 * @property models loaded models, or null if not reported.
 * @property adapters loaded adapters, or null if not reported.
 * @property version version of the weights, or null if it has none.
 * @property order the last order that the engine accepted, or null if it has accepted none since its start.
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
