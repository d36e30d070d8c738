package fireflyhinge.forward

/**
 * Retries that the platform tolerates per service, summed over all VMs, in any window of a few seconds: [ratio] of the
 * requests plus [slack]. A budget that accrues with requests and is capped at the slack meets this for any window.
 */
data class RetryBounds(val ratio: Double = 0.2, val slack: Double = 56.0)
