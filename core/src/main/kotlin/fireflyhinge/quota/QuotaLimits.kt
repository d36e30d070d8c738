package fireflyhinge.quota

import fireflyhinge.config.ResolvedWorkspace

/** Limits of one bucket: [rate] in tokens per second and [depth] in tokens. */
data class QuotaLimits(val rate: Double, val depth: Double) {
    /** Derives limits from a workspace's parameters. */
    companion object {
        /** Covers an owner's clock that runs 1 % fast. */
        const val RATE_FACTOR = 0.99

        /** A charge may be used this many seconds after its tokens accrued; the depth leaves room for that. */
        const val USE_DELAY_SECONDS = 0.25

        /** Limits of the region that has [share] of the rate and burst of [workspace]. */
        fun of(workspace: ResolvedWorkspace, share: Double): QuotaLimits {
            val rate = workspace.rate * share
            return QuotaLimits(
                rate = rate * RATE_FACTOR,
                depth = maxOf(0.0, workspace.burst * share - rate * USE_DELAY_SECONDS),
            )
        }
    }
}
