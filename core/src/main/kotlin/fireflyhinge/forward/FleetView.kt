package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/** What this VM knows of all VMs, from its own exchanges and from what others pass on. Thread-safe. */
class FleetView(self: VmRecord, private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private class Known(var record: VmRecord, var heardAt: Long, var refusedHeartbeat: Long? = null)

    private val known = LinkedHashMap<String, Known>()
    private var own = self

    /** The record of this VM. */
    val self: VmRecord @Synchronized get() = own

    /** Raises the beat of this VM and sets whether it takes requests, and its [tokens] at replicas. */
    @Synchronized
    fun heartbeat(ready: Boolean, tokens: Map<String, Long> = emptyMap()) {
        own = own.copy(heartbeat = own.heartbeat + 1, ready = ready, tokens = tokens)
    }

    /** Tokens that other VMs that run have at each replica. */
    @Synchronized
    fun remoteTokens(): Map<String, Long> =
        live().flatMap { it.tokens.entries }.groupingBy { it.key }.fold(0L) { sum, entry -> sum + entry.value }

    /** Takes over [records] that are newer than those held. */
    @Synchronized
    fun merge(records: Collection<VmRecord>) {
        val now = clock.millis()
        for (record in records) {
            if (record.name == own.name) continue
            val held = known[record.name]
            if (held == null) {
                known[record.name] = Known(record, now)
            } else if (record.newerThan(held.record)) {
                held.record = record
                held.heardAt = now
            }
        }
    }

    /** VM [name] refused a connection: it counts as not running until it raises its beat. */
    @Synchronized
    fun connectionRefused(name: String) {
        known[name]?.let { it.refusedHeartbeat = it.record.heartbeat }
    }

    /**
     * How much farther apart exchanges are than in a small fleet. Their size grows with the number of VMs, so their
     * rate falls with it; the nearest VMs still hear of each other with each request.
     */
    val exchangeIntervalFactor: Double
        @Synchronized get() = (known.size.toDouble() / SMALL_FLEET).coerceIn(1.0, MOST_SPACING)

    /** Records of all VMs, this one first. */
    @Synchronized
    fun all(): List<VmRecord> = listOf(own) + known.values.map { it.record }

    /** VMs other than this one whose heartbeat advanced within [HEARTBEAT_TIMEOUT_MILLIS], scaled by the interval. */
    @Synchronized
    fun live(): List<VmRecord> {
        val now = clock.millis()
        val timeout = HEARTBEAT_TIMEOUT_MILLIS * (1 + exchangeIntervalFactor) / 2
        return known.values
            .filter { now - it.heardAt < timeout && it.refusedHeartbeat != it.record.heartbeat }
            .map { it.record }
    }

    /**
     * Names of the VMs that share limits: all that were heard of within [SHARING_MILLIS], this one included. If most
     * are silent this VM is probably cut off, and the others still use their shares; then all count.
     */
    @Synchronized
    fun quotaMembers(): List<String> {
        val now = clock.millis()
        val heard = known.filterValues { now - it.heardAt < SHARING_MILLIS }.keys
        return listOf(own.name) + if (heard.size * 2 >= known.size) heard else known.keys
    }

    /**
     * Names of the VMs that hold shares of the limit [name]: [MOST_HOLDERS] of those that share limits, the same on
     * each VM that knows the same others (rendezvous hash). More shares would be smaller than one request.
     */
    fun quotaHolders(name: String): List<String> =
        quotaMembers().sortedBy { "$name/$it".hashCode() * SPREAD }.take(MOST_HOLDERS)

    private companion object {
        /** A beat is passed on within about two exchanges of half a second each; twice that is silence. */
        const val HEARTBEAT_TIMEOUT_MILLIS = 2_500L

        /** VMs whose records fit into some kilobytes. */
        const val SMALL_FLEET = 24

        /** Exchanges are a second apart at most, so that a VM that fails is found within some five seconds. */
        const val MOST_SPACING = 3.5

        /** Longer than a restart or an ordinary partition, so that shares do not change with these. */
        const val SHARING_MILLIS = 20_000L

        /** Shares of an eighth hold some requests of the smallest workspace today. */
        const val MOST_HOLDERS = 8

        /** Spreads hash codes of similar names (Fibonacci hashing). */
        const val SPREAD = -1_640_531_527
    }
}
