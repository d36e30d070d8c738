package fireflyhinge.forward

import kotlin.random.Random

/**
 * Decides which fraction of the start credit this VM gets ([QuotaShares]). After a loss of power the first VMs share
 * it: with h holders, a VM that found n others running gets (h - n) parts of h(h + 1)/2, or none. Of two VMs at least
 * one finds the other running, so f VMs found at least f(f - 1)/2 in all, and the sum of the fractions does not exceed
 * 1, also if VMs start at the same moment. Thread-safe.
 */
class QuotaStartCredit(private val fleet: FleetView, private val down: DownVms, random: Random = Random.Default) {
    private val left by lazy { ArrayDeque(fleet.quotaMembers().drop(1).shuffled(random)) }
    private var running = 0
    private var decided: Double? = null

    /** The fraction, from 0 to 1, or null while it is not known. */
    @Synchronized
    fun fraction(): Double? = decided

    /**
     * VMs to probe until the [fraction] is known. Each is returned once, and its result goes to [probed]. To be called
     * when this VM accepts connections and knows the list of VMs.
     */
    @Synchronized
    fun probes(): List<VmRecord> {
        if (decided != null) return emptyList()
        val names = List(minOf(left.size, QuotaHolders.MAX_PROBES)) { left.removeFirst() }
        if (names.isEmpty()) decided = fractionOf(running)
        return names.mapNotNull(fleet::record)
    }

    /** Records whether VM [name] was [refused] in an attempt that began at [begunAt]; null if not known. */
    @Synchronized
    fun probed(name: String, refused: Boolean?, begunAt: Long) {
        if (refused == true) return down.refused(name, begunAt)
        if (refused == false) down.accepted(name)
        // In a running fleet one batch of probes suffices.
        if (++running >= QuotaHolders.MAX_HOLDERS) decided = 0.0
    }

    private fun fractionOf(running: Int): Double {
        val holders = minOf(QuotaHolders.MAX_HOLDERS, fleet.quotaMembers().size)
        return maxOf(0, holders - running) * 2.0 / (holders * (holders + 1))
    }
}
