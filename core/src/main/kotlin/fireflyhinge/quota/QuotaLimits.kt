package fireflyhinge.quota

import fireflyhinge.config.ResolvedWorkspace

/** Limits of one bucket: [rate] in tokens per second and [depth] in tokens. */
data class QuotaLimits(val rate: Double, val depth: Double) {
    /** Derives limits from the configuration of a workspace. */
    companion object {
        /** Compensates for an owner's clock that runs up to 1 % fast. */
        const val RATE_FACTOR = 0.99

        /** Time after accrual within which a charge is used. The depth is reduced by what accrues in that time. */
        const val USE_DELAY_SECONDS = 0.25

        /** Limits of a region with [share] of the rate and burst of [workspace]. */
        fun of(workspace: ResolvedWorkspace, share: Double): QuotaLimits {
            val rate = workspace.rate * share
            return QuotaLimits(
                rate = rate * RATE_FACTOR,
                depth = maxOf(0.0, workspace.burst * share - rate * USE_DELAY_SECONDS),
            )
        }
    }
}
