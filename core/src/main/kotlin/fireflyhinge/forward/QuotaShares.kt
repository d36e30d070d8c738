package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * This VM's shares of the limits of all workspaces, one token bucket per workspace. A limit with a rate of 0 or less
 * means unlimited. The holders of a limit have equal shares and lend tokens to other VMs. The sum over all VMs stays
 * within the limit under any communication failure: a lost loan loses its tokens and never duplicates them.
 * Thread-safe.
 *
 * @param part this VM's fraction of a workspace's limit, from 0 to 1.
 * @param firstStart whether this is the first start of the fleet; a restarted VM begins with a fraction of its depth,
 * since the previous process may have used the rest within the same window.
 */
class QuotaShares(
    private val bounds: QuotaBounds,
    private val part: (String) -> Double,
    private val firstStart: Boolean,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) {
    private val shares = HashMap<String, QuotaShare>()

    // Buckets are created at their first use, but accrue tokens from the start of this process: the previous process
    // took none after it.
    private val startedAt = clock.millis()

    /** Takes [tokens] from [workspace]'s share, or returns false if there are too few. */
    @Synchronized
    fun take(workspace: ForwardWorkspace, tokens: Double): Boolean =
        workspace.limit.ratePerSecond <= 0 || share(workspace).take(tokens)

    /** Returns unused [tokens] to the share, or adds tokens lent by another VM. */
    @Synchronized
    fun add(workspace: ForwardWorkspace, tokens: Double) {
        if (workspace.limit.ratePerSecond > 0) share(workspace).add(tokens)
    }

    /** Takes up to [wanted] tokens for another VM and returns the amount. */
    @Synchronized
    fun lend(workspace: ForwardWorkspace, wanted: Double): Double {
        if (workspace.limit.ratePerSecond <= 0) return 0.0
        val share = share(workspace)
        val lent = minOf(wanted, share.level)
        return if (lent >= 1 && share.take(lent)) lent else 0.0
    }

    /** Tokens missing from this VM's share for a request of [tokens]. */
    @Synchronized
    fun shortfall(workspace: ForwardWorkspace, tokens: Double): Double =
        if (workspace.limit.ratePerSecond <= 0) 0.0 else maxOf(0.0, tokens - share(workspace).level)

    /** Tokens to borrow for a request of [tokens]: the shortfall, and a reserve for later small requests. */
    @Synchronized
    fun borrowAmount(workspace: ForwardWorkspace, tokens: Double): Double =
        shortfall(workspace, tokens) + reserve(workspace)

    /**
     * Takes the tokens above the reserve if this VM holds no share of [workspace]'s limit, and returns the amount,
     * which the caller repays to other VMs. The tokens remain from loans and requests that did not run, and would
     * otherwise be available only to later requests on this VM.
     */
    @Synchronized
    fun takeSurplus(workspace: ForwardWorkspace): Double {
        if (workspace.limit.ratePerSecond <= 0 || part(workspace.name) > 0) return 0.0
        val share = share(workspace)
        val surplus = share.level - reserve(workspace)
        return if (surplus >= 1 && share.take(surplus)) surplus else 0.0
    }

    private fun reserve(workspace: ForwardWorkspace): Double =
        if (part(workspace.name) > 0) 0.0 else workspace.limit.ratePerSecond * RESERVE_SECONDS

    /** Milliseconds until this VM's share holds [tokens], from [MIN_WAIT_MILLIS] to [MAX_WAIT_MILLIS]. */
    @Synchronized
    fun waitMillis(workspace: ForwardWorkspace, tokens: Double): Long {
        val share = share(workspace)
        val wait = (tokens - share.level) / maxOf(1.0, share.rate) * MILLIS_PER_SECOND
        return wait.toLong().coerceIn(MIN_WAIT_MILLIS, MAX_WAIT_MILLIS)
    }

    private fun share(workspace: ForwardWorkspace): QuotaShare {
        val fraction = part(workspace.name)
        val rate = workspace.limit.ratePerSecond * fraction
        val depth = depth(workspace.limit) * fraction
        val now = clock.millis()
        val share =
            shares.getOrPut(workspace.name) {
                QuotaShare(rate, depth, if (firstStart) depth else depth * RESTART_FRACTION, startedAt)
            }
        // Tokens up to now accrue at the previous rate.
        share.advance(now)
        share.rate = rate
        share.depth = depth
        return share
    }

    /**
     * Total depth of the buckets of one limit on all VMs: the burst plus [EXCESS_FRACTION] of the tolerated excess. The
     * excess is a fraction of the tokens per window ([QuotaBounds.overage]) and a fixed number of tokens.
     */
    private fun depth(limit: WorkspaceLimit): Double {
        val overage = bounds.overage * limit.ratePerSecond * bounds.windowMillis / MILLIS_PER_SECOND
        return limit.burst + (overage + bounds.slackTokens) * EXCESS_FRACTION
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Fraction of the tolerated excess in the buckets. The rest covers VMs that restart within a window. */
        const val EXCESS_FRACTION = 0.6

        /** Fraction of its depth with which a restarted VM begins. */
        const val RESTART_FRACTION = 0.3

        /**
         * Reserve that a VM without a share of the limit keeps, in seconds of the limit's rate. With it, small requests
         * do not need a loan each. The reserves of 100 such VMs add up to the tokens of one second.
         */
        const val RESERVE_SECONDS = 0.01

        const val MIN_WAIT_MILLIS = 100L
        const val MAX_WAIT_MILLIS = 3_000L
    }
}
