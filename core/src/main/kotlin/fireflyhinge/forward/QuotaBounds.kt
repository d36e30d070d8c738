package fireflyhinge.forward

/**
 * Tolerated excess over a workspace's limit, summed over all VMs.
 *
 * @property windowMillis length of the sliding window.
 * @property overage tolerated fraction of the tokens that the limit allows per window.
 * @property slackTokens additional tokens tolerated per window.
 */
data class QuotaBounds(
    val windowMillis: Long = 8_000,
    val overage: Double = 0.1,
    val slackTokens: Double = 110_000.0,
)
