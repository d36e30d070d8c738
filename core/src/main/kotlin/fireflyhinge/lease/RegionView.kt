package fireflyhinge.lease

/**
 * What a daemon believes about its region when it decides.
 *
 * @property candidates processes that may be given shards, sorted by VM; this process is one unless it is draining.
 * @property dead whether there is evidence that a process can no longer run. Evidence must be true: a process that is
 * merely silent is not dead.
 */
class RegionView(
    val candidates: List<Candidate>,
    val draining: Boolean = false,
    val dead: (ProcessId) -> Boolean = { false },
) {
    /** Failure domain of [process], or null if it is not a candidate. */
    fun domainOf(process: ProcessId): String? = candidates.find { it.process == process }?.failureDomain
}
