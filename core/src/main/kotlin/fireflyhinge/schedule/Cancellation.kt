package fireflyhinge.schedule

import fireflyhinge.engine.EngineRequestId

/** An orphaned request to cancel: [id] at the engine of [replica], reached at [address]. */
data class Cancellation(val replica: String, val address: String, val id: EngineRequestId)
