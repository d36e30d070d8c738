package fireflyhinge.forward

/**
 * Rate limit of a workspace, summed over all VMs.
 *
 * @property ratePerSecond tokens per second; 0 for no limit.
 * @property burst tokens that may be used at once beyond the rate.
 */
data class WorkspaceLimit(val ratePerSecond: Double, val burst: Double)
