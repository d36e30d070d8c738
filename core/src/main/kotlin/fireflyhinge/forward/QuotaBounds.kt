package fireflyhinge.forward

/**
 * What the platform tolerates beyond the limit of a workspace, summed over all VMs.
 *
 * @property windowMillis any span of this length counts.
 * @property overage tolerated share of what the limit allows in the window.
 * @property slackTokens tolerated tokens besides.
 */
data class QuotaBounds(
    val windowMillis: Long = 8_000,
    val overage: Double = 0.1,
    val slackTokens: Double = 110_000.0,
)
