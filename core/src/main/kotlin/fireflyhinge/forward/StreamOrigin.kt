package fireflyhinge.forward

/** The [service] and the software [version] of the replica that began a stream. */
data class StreamOrigin(val service: String, val version: String) {
    /** Whether [replica] is of this version, so that it may continue the stream. */
    fun includes(replica: Replica): Boolean = replica.service == service && replica.version == version
}
