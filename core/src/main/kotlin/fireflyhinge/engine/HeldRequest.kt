package fireflyhinge.engine

/** A request that holds memory at an engine; [ageMillis] is the time since the engine accepted it. */
data class HeldRequest(val id: EngineRequestId, val holder: Holder, val ticket: String, val ageMillis: Long)
