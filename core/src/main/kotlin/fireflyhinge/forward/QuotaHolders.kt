package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * Decides which shares of the workspaces' limits this VM holds. The holders of a limit are the first [MAX_HOLDERS] VMs
 * in its order ([FleetView.quotaOrder]) that are not down. A VM is down for this one while a connection attempt to it
 * was refused within [DOWN_MILLIS], and a process holds no share until [START_MILLIS] after it began to listen. So no
 * VM holds a share in place of a process that holds it as well, however the views of the VMs differ otherwise.
 * Thread-safe.
 */
class QuotaHolders(
    private val fleet: FleetView,
    private val down: DownVms,
    private val firstStart: Boolean,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val random: Random = Random.Default,
) {
    private class Holding(val part: Double, val until: Long, val expires: Long)

    private val held = ConcurrentHashMap<String, Holding>()
    private var listeningSince: Long? = null
    private var isolatedAt: Long? = null

    /** Whether the list of VMs, from the store or from another VM, was merged into [fleet]. */
    @Volatile
    var listed: Boolean = false

    /** Records that this VM accepts connections of other VMs from now on. */
    @Synchronized
    fun listening() {
        listeningSince = listeningSince ?: clock.millis()
    }

    /** This VM's fraction of the limit of [workspace], from 0 to 1. */
    fun part(workspace: String): Double = holding(workspace).part

    /** The time until which [part] holds if this VM learns nothing new. */
    fun partUntil(workspace: String): Long = holding(workspace).until

    /** The order of all VMs is not computed for each request. */
    private fun holding(workspace: String): Holding {
        val now = clock.millis()
        held[workspace]?.let { if (now < it.expires && now < it.until) return it }
        val (part, until) = computed(workspace)
        return Holding(part, until, now + CACHE_MILLIS).also { held[workspace] = it }
    }

    private fun computed(workspace: String): Pair<Double, Long> {
        if (!mayHold()) return NOTHING
        val now = clock.millis()
        val order = fleet.quotaHolders(workspace, Int.MAX_VALUE)
        val before = order.take(order.indexOf(fleet.self.name))
        // A VM that starts with the whole fleet leaves the shares of those that start later to them.
        val substitute = !firstStart || now - (listeningSince ?: now) > FIRST_START_MILLIS
        val ends =
            before.mapNotNull { name -> down.downAt(name)?.plus(DOWN_MILLIS)?.takeIf { substitute && it > now } }
        val surplus = before.size - MAX_HOLDERS + 1
        return when {
            surplus > ends.size -> NOTHING
            surplus <= 0 -> 1.0 / minOf(order.size, MAX_HOLDERS) to Long.MAX_VALUE
            // The part ends when too few of the VMs before this one are still known to be down.
            else -> 1.0 / MAX_HOLDERS to ends.sortedDescending()[surplus - 1]
        }
    }

    @Synchronized
    private fun mayHold(): Boolean {
        val now = clock.millis()
        val since = listeningSince ?: return false
        val began = firstStart || now - since >= START_MILLIS
        if (!listed || !began) return false
        if (fleet.quotaIsolated) isolatedAt = now
        return isolatedAt.let { it == null || now - it > REJOIN_MILLIS }
    }

    /**
     * VMs to ask for tokens of [workspace], in order; the first [lenderCount] hold the shares. A VM that refused a
     * connection is left out for [REFUSED_MILLIS] or until it is heard of.
     */
    fun lenders(workspace: String): List<VmRecord> {
        val now = clock.millis()
        return fleet.quotaHolders(workspace, Int.MAX_VALUE).mapNotNull { name ->
            val refused = down.downAt(name)
            fleet.record(name)?.takeIf { refused == null || now - refused > REFUSED_MILLIS }
        }
    }

    /** Number of VMs other than this one that should hold shares of the limit of [workspace]. */
    fun lenderCount(workspace: String): Int =
        minOf(MAX_HOLDERS, fleet.quotaMembers().size) - if (part(workspace) > 0) 1 else 0

    /**
     * VMs to which this one should open a connection now, to learn whether they are down: those not heard of, if this
     * VM holds shares of one of [workspaces] when they are down, and some of all when it hears of too few.
     */
    fun probes(workspaces: Collection<String>): List<VmRecord> {
        val names = LinkedHashSet<String>()
        // An entry in the store does not show that its VM is up.
        val live = fleet.live().filter { it.startedAt > 0 && down.downAt(it.name) == null }.mapTo(HashSet()) { it.name }
        for (workspace in workspaces) {
            val order = fleet.quotaHolders(workspace, Int.MAX_VALUE)
            val (heard, silent) = order.take(order.indexOf(fleet.self.name)).partition { it in live }
            if (heard.size < MAX_HOLDERS && heard.size + silent.size >= MAX_HOLDERS) names += silent
        }
        names += fleet.quotaMembers().drop(1).filterNot(live::contains).shuffled(random).take(RANDOM_PROBES)
        return names.mapNotNull(fleet::record).take(MAX_PROBES)
    }

    companion object {
        /** With more holders a share would be smaller than one request. */
        const val MAX_HOLDERS = 8

        /** Probes every 100 ms renew what is known of VMs that are down before it ends. */
        const val DOWN_MILLIS = 400L

        /** Exceeds [DOWN_MILLIS], so that clocks of different speed don't matter. */
        const val START_MILLIS = 500L

        /** No second loan is asked of a VM that refused one within this time, unless it is heard of. */
        const val REFUSED_MILLIS = 2_000L

        /** Heartbeats reach all connected VMs within this time, after a partition too. */
        const val REJOIN_MILLIS = 5_000L

        /** VMs of a fleet that is started for the first time are up within this time. */
        const val FIRST_START_MILLIS = 10_000L

        /** Bounds the connections opened at once. */
        const val MAX_PROBES = 48

        private const val RANDOM_PROBES = 2

        /** Less than the margin of [START_MILLIS] over [DOWN_MILLIS]. */
        private const val CACHE_MILLIS = 20L
        private val NOTHING = 0.0 to Long.MAX_VALUE
    }
}
