package fireflyhinge.lease

/**
 * The state of a region as one daemon sees it.
 *
 * @property candidates processes that may own shards, sorted by VM; includes this process unless it is draining.
 * @property deadBy returns the time at which a process was certainly dead, in nanoseconds of this process's monotonic
 * clock, or null without evidence of its death. A process that merely does not respond is not dead.
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
