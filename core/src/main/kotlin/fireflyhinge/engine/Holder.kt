package fireflyhinge.engine

/** The daemon process that owns a request: VM id and incarnation (start time in milliseconds since 1970). */
data class Holder(val vm: String, val incarnation: Long)
