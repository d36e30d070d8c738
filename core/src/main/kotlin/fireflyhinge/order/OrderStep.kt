package fireflyhinge.order

/** One change of an engine towards its desired state. */
data class OrderStep(val action: EngineAction, val argument: String)
