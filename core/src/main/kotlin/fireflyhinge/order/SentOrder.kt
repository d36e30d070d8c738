package fireflyhinge.order

import fireflyhinge.engine.EngineOrder

/**
 * An order that was decided on and whose end is not known. [at] is the time of the decision in monotonic nanoseconds.
 *
 * @property incarnation incarnation of the engine to which the order is addressed.
 * @property sending whether the order is still being sent.
 */
internal data class SentOrder(
    val order: EngineOrder,
    val incarnation: Long?,
    val at: Long,
    val sending: Boolean = true,
)
