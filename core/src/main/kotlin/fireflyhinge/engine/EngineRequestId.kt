package fireflyhinge.engine

/**
 * Identifies one attempt of a request at an engine. Replies with another attempt are discarded.
 *
 * @property request unique in the fleet.
 * @property attempt starts at 1 and increases with each new placement.
 */
data class EngineRequestId(val request: String, val attempt: Int)
