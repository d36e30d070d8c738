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
 * @param firstStart whether this is the first start of the fleet. A restarted VM begins without tokens, since others
 * may have used those of its previous process within the same window.
 * @param partUntil time until which the current [part] holds; it is read before [part].
 * @param startCredit fraction of the start credit with which a restarted VM begins, null while it is not known. The
 * credit replaces tokens that no VM accrued while too few VMs ran to hold all shares.
 * @param vms number of VMs that may hold a reserve.
 */
class QuotaShares(
    private val bounds: QuotaBounds,
    private val part: (String) -> Double,
    private val firstStart: Boolean,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val partUntil: (String) -> Long = { Long.MAX_VALUE },
    private val startCredit: () -> Double? = { DEFAULT_CREDIT },
    private val vms: () -> Int = { 1 },
) {
    private val shares = HashMap<String, QuotaShare>()
    private val credited = HashSet<String>()
    private val depths = QuotaDepths(bounds)
    private val startedAt = clock.millis()

    /** Whether this process is younger than the window, so that its shares may not have accrued their tokens yet. */
    val young: Boolean get() = !firstStart && clock.millis() - startedAt < bounds.windowMillis

    /** Accrues and expires tokens of [workspaces]; to be called several times a second. */
    @Synchronized
    fun refresh(workspaces: Collection<ForwardWorkspace>) {
        workspaces.forEach { if (it.limit.ratePerSecond > 0) share(it) }
    }

    /** Takes [tokens] from [workspace]'s share, or returns false if there are too few. */
    @Synchronized
    fun take(workspace: ForwardWorkspace, tokens: Double): Boolean =
        workspace.limit.ratePerSecond <= 0 || share(workspace).take(tokens)

    /**
     * Adds [tokens] lent by another VM. Of tokens that are [returned], by a request that did not run or by another VM,
     * those far above the depth are lost, so that the sum of the stored tokens is bounded.
     */
    @Synchronized
    fun add(workspace: ForwardWorkspace, tokens: Double, returned: Boolean = false) {
        if (workspace.limit.ratePerSecond <= 0) return
        val share = share(workspace)
        if (!returned) return share.add(tokens)
        share.addReturned(tokens, depths.overfilled(workspace.limit, share.depth), clock.millis())
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
        // A VM that has just started may be about to hold a share.
        if (clock.millis() - (share.endedAt ?: 0) < KEEP_MILLIS) return 0.0
        val surplus = share.level - reserve(workspace)
        return if (surplus >= 1 && share.take(surplus)) surplus else 0.0
    }

    private fun reserve(workspace: ForwardWorkspace): Double =
        if (part(workspace.name) > 0) 0.0 else depths.reserve(workspace.limit, vms())

    /** Milliseconds until this VM's share holds [tokens], from [MIN_WAIT_MILLIS] to [MAX_WAIT_MILLIS]. */
    @Synchronized
    fun waitMillis(workspace: ForwardWorkspace, tokens: Double): Long {
        val share = share(workspace)
        val wait = (tokens - share.level) / maxOf(1.0, share.rate) * MILLIS_PER_SECOND
        return wait.toLong().coerceIn(MIN_WAIT_MILLIS, MAX_WAIT_MILLIS)
    }

    private fun share(workspace: ForwardWorkspace): QuotaShare {
        val name = workspace.name
        val until = partUntil(name)
        val fraction = part(name)
        val depth = depths.depth(workspace.limit) * fraction
        val now = clock.millis()
        val share = shares.getOrPut(name) { QuotaShare(0.0, 0.0, 0.0, now) }
        // Tokens up to now accrue at the previous rate.
        share.advance(now)
        share.hold(fraction > 0, reserve(workspace), now)
        share.rate = workspace.limit.ratePerSecond * fraction
        share.rateUntil = until
        share.resize(depth, held = fraction > 0)
        if (name !in credited) {
            val credit =
                when {
                    !firstStart -> startCredit()?.let { depths.startCredit(workspace.limit) * it }
                    depth > 0 -> depth
                    // A VM that replaces a holder later begins without tokens, since the holder may have spent its own.
                    now - startedAt > QuotaHolders.FIRST_START_MILLIS -> 0.0
                    else -> null
                }
            credit?.let { share.add(it) }
            if (credit != null) credited += name
        }
        return share
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Half of an equal part of the start credit, for a process that does not know how many others run. */
        const val DEFAULT_CREDIT = 0.0625

        /** Time for which a VM without a share keeps tokens, since it may be about to hold one. */
        const val KEEP_MILLIS = QuotaHolders.START_MILLIS + 100

        const val MIN_WAIT_MILLIS = 100L
        const val MAX_WAIT_MILLIS = 3_000L
    }
}
