package fireflyhinge.forward

/**
 * Rate of a workspace over all VMs together.
 *
 * @property ratePerSecond tokens per second; 0 means no limit.
 * @property burst tokens beyond the rate that may be used at once.
 */
data class WorkspaceLimit(val ratePerSecond: Double, val burst: Double)
