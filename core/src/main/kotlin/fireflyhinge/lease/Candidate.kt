package fireflyhinge.lease

/** A live process of the region that may own shards. */
data class Candidate(val process: ProcessId, val failureDomain: String)
