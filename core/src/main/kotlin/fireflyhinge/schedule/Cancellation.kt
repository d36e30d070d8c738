package fireflyhinge.schedule

import fireflyhinge.engine.EngineRequestId

/** An orphan to cancel: request [id] at the engine of [replica]. */
data class Cancellation(val replica: String, val address: String, val id: EngineRequestId)
