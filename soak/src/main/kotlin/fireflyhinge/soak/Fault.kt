package fireflyhinge.soak

/** One fault: it begins at [at] and lasts [millis]; [target] selects the gateway or link, [mode] what the link does. */
internal data class Fault(val at: Long, val kind: FaultKind, val target: Int, val mode: LinkMode, val millis: Long)
