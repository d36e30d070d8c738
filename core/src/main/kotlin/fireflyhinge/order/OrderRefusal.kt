package fireflyhinge.order

import fireflyhinge.engine.EngineOrder

/** An order that was refused, failed or was not answered. [at] is in monotonic nanoseconds of the owner. */
data class OrderRefusal(val order: EngineOrder, val reason: String, val at: Long)
