package fireflyhinge.forward

/** Divides the tokens that are tolerated beyond a limit's rate: depths of the buckets, start credits and reserves. */
internal class QuotaDepths(private val bounds: QuotaBounds) {
    /** Total depth of the buckets of [limit] on all VMs: the burst plus [EXCESS_FRACTION] of the [excess]. */
    fun depth(limit: WorkspaceLimit): Double = limit.burst + excess(limit) * EXCESS_FRACTION

    /** The most tokens that a bucket of [depth] keeps, or that of a VM that holds no share, when some are returned. */
    fun overfilled(limit: WorkspaceLimit, depth: Double): Double =
        maxOf(depth, depth(limit) / QuotaHolders.MAX_HOLDERS) * (1 + OVERFILL_FRACTION)

    /** Tokens with which all VMs together begin after a loss of power. */
    fun startCredit(limit: WorkspaceLimit): Double =
        limit.ratePerSecond * IDLE_SECONDS + excess(limit) * CREDIT_FRACTION

    /** Reserve of a VM without a share, of [vms] VMs. */
    fun reserve(limit: WorkspaceLimit, vms: Int): Double =
        minOf(limit.ratePerSecond * RESERVE_SECONDS, excess(limit) * RESERVES_FRACTION / maxOf(1, vms))

    /** Tolerated excess: a fraction of the tokens per window ([QuotaBounds.overage]) and a fixed number of tokens. */
    private fun excess(limit: WorkspaceLimit): Double =
        bounds.overage * limit.ratePerSecond * bounds.windowMillis / MILLIS_PER_SECOND + bounds.slackTokens

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Fraction of the tolerated excess in the buckets. The rest covers starts within a window, and reserves. */
        const val EXCESS_FRACTION = 0.6

        /** Fraction of the excess in the start credits of one loss of power, of which five fit into a window of 8 s. */
        const val CREDIT_FRACTION = 0.055

        /** Fraction of the tolerated excess in the reserves of all VMs. */
        const val RESERVES_FRACTION = 0.05

        /** Fraction of its depth by which returned tokens may overfill a bucket. */
        const val OVERFILL_FRACTION = 0.05

        /** A share is held by none for at least 1 s until its VM runs again, and [QuotaHolders.START_MILLIS] more. */
        const val IDLE_SECONDS = 1.5

        /**
         * Reserve that a VM without a share of the limit keeps, in seconds of the limit's rate. With it, small requests
         * do not need a loan each.
         */
        const val RESERVE_SECONDS = 0.01
    }
}
