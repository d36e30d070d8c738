package fireflyhinge.engine

/**
 * Identity of one attempt of a request at an engine. Replies that carry another attempt are dropped.
 *
 * @property request unique over the fleet.
 * @property attempt starts at 1 and rises with each new placement.
 */
data class EngineRequestId(val request: String, val attempt: Int)
