package fireflyhinge.engine

/**
 * An order to an engine; its fencing token [fence] must not be lower than that of any order the engine has accepted.
 */
data class EngineOrder(val fence: Long, val action: String, val argument: String)
