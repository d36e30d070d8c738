package fireflyhinge.order

import fireflyhinge.engine.EngineOrder

/** An order that was refused, failed or stayed without an answer; [at] is the owner's monotonic nanoseconds. */
data class OrderRefusal(val order: EngineOrder, val reason: String, val at: Long)
