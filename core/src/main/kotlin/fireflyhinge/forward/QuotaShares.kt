package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * This VM's shares of the limits of all workspaces. The VMs that hold a limit have equal parts of it and lend tokens to
 * all others, so the sum over all VMs stays within the limit whatever fails between them: a lost loan is lost, never
 * doubled. Thread-safe.
 *
 * @param part this VM's part of the limit of a workspace, from 0 to 1.
 * @param fresh whether the fleet starts for the first time; a VM that restarts begins with a small part of its depth,
 * since its predecessor may have used the rest within the same window.
 */
class QuotaShares(
    private val bounds: QuotaBounds,
    private val part: (String) -> Double,
    private val fresh: Boolean,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) {
    private val shares = HashMap<String, QuotaShare>()

    // The predecessor of this process used nothing since then, so tokens accrue from the start on.
    private val startedAt = clock.millis()

    /** Takes [tokens] of [workspace], or returns false if this VM's share does not hold them. */
    @Synchronized
    fun take(workspace: ForwardWorkspace, tokens: Double): Boolean =
        workspace.limit.ratePerSecond <= 0 || share(workspace).take(tokens)

    /** Gives back [tokens] that were taken and not used, or adds tokens that another VM lent. */
    @Synchronized
    fun add(workspace: ForwardWorkspace, tokens: Double) {
        if (workspace.limit.ratePerSecond > 0) share(workspace).add(tokens)
    }

    /** Takes up to [wanted] tokens for another VM. Returns how many. */
    @Synchronized
    fun lend(workspace: ForwardWorkspace, wanted: Double): Double {
        if (workspace.limit.ratePerSecond <= 0) return 0.0
        val share = share(workspace)
        val lent = minOf(wanted, share.level)
        return if (lent >= 1 && share.take(lent)) lent else 0.0
    }

    /** Tokens by which this VM's share falls short of [tokens]. */
    @Synchronized
    fun shortfall(workspace: ForwardWorkspace, tokens: Double): Double =
        if (workspace.limit.ratePerSecond <= 0) 0.0 else maxOf(0.0, tokens - share(workspace).level)

    /** Tokens to borrow for a request of [tokens]: what is missing, and some for small requests that follow. */
    @Synchronized
    fun borrowAmount(workspace: ForwardWorkspace, tokens: Double): Double =
        shortfall(workspace, tokens) + kept(workspace)

    /**
     * Takes the tokens of [workspace] that this VM has without holding a part of the limit, but for a few: rests of
     * loans and of requests that did not run. Left here, they would serve only requests that happen to come to this VM.
     */
    @Synchronized
    fun takeSurplus(workspace: ForwardWorkspace): Double {
        if (workspace.limit.ratePerSecond <= 0 || part(workspace.name) > 0) return 0.0
        val share = share(workspace)
        val surplus = share.level - kept(workspace)
        return if (surplus >= 1 && share.take(surplus)) surplus else 0.0
    }

    private fun kept(workspace: ForwardWorkspace): Double =
        if (part(workspace.name) > 0) 0.0 else workspace.limit.ratePerSecond * KEPT_SECONDS

    /** Milliseconds until this VM's share holds [tokens], at most [LONGEST_WAIT_MILLIS]. */
    @Synchronized
    fun waitMillis(workspace: ForwardWorkspace, tokens: Double): Long {
        val share = share(workspace)
        val wait = (tokens - share.level) / maxOf(1.0, share.rate) * MILLIS_PER_SECOND
        return wait.toLong().coerceIn(SHORTEST_WAIT_MILLIS, LONGEST_WAIT_MILLIS)
    }

    private fun share(workspace: ForwardWorkspace): QuotaShare {
        val held = part(workspace.name)
        val rate = workspace.limit.ratePerSecond * held
        val depth = depth(workspace.limit) * held
        val now = clock.millis()
        val share =
            shares.getOrPut(workspace.name) {
                QuotaShare(rate, depth, if (fresh) depth else depth * RESTART_PART, startedAt)
            }
        share.advance(now)
        share.rate = rate
        share.depth = depth
        return share
    }

    /** Depth of all buckets together: the burst and most of the tolerated excess; the rest covers restarted VMs. */
    private fun depth(limit: WorkspaceLimit): Double {
        val tolerated = bounds.overage * limit.ratePerSecond * bounds.windowMillis / MILLIS_PER_SECOND
        return limit.burst + (tolerated + bounds.slackTokens) * EXCESS_PART
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Part of the tolerated excess that buckets hold. What is left covers VMs that restart within a window. */
        const val EXCESS_PART = 0.6

        /** Part of its depth that a restarted VM begins with. */
        const val RESTART_PART = 0.3

        /**
         * What a VM without a part of a limit keeps of it, in seconds of the limit's rate. With a hundred such VMs that
         * is one second's rate, and small requests do not need a loan each.
         */
        const val KEPT_SECONDS = 0.01

        const val SHORTEST_WAIT_MILLIS = 100L
        const val LONGEST_WAIT_MILLIS = 3_000L
    }
}
