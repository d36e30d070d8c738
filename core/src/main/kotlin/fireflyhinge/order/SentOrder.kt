package fireflyhinge.order

import fireflyhinge.engine.EngineOrder

/**
 * An order that was decided on and whose end is not known; [at] is the monotonic nanoseconds of the decision.
 *
 * @property incarnation incarnation of the engine that it was meant for.
 * @property sending whether the sending has not ended.
 */
internal data class SentOrder(
    val order: EngineOrder,
    val incarnation: Long?,
    val at: Long,
    val sending: Boolean = true,
)
