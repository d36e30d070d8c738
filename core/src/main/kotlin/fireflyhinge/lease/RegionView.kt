package fireflyhinge.lease

/**
 * What a daemon believes about its region when it decides.
 *
 * @property candidates processes that may be given shards, sorted by VM; this process is one unless it is draining.
 * @property deadBy time of this process's monotonic clock, in nanoseconds, at which a process was certainly dead, or
 * null without evidence of its death. Evidence must be true: a process that is merely silent is not dead.
 */
class RegionView(
    val candidates: List<Candidate>,
    val draining: Boolean = false,
    val deadBy: (ProcessId) -> Long? = { null },
) {
    /** Whether there is evidence that [process] can no longer run. */
    fun dead(process: ProcessId): Boolean = deadBy(process) != null

    /** Failure domain of [process], or null if it is not a candidate. */
    fun domainOf(process: ProcessId): String? = candidates.find { it.process == process }?.failureDomain
}
