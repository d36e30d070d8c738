package fireflyhinge.lease

/** A live process of the region that may be given shards. */
data class Candidate(val process: ProcessId, val failureDomain: String)
