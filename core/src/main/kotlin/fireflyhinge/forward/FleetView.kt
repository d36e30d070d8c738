package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/** Membership view of this VM, built by direct exchanges and gossip. Thread-safe. */
class FleetView(self: VmRecord, private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private class Known(var record: VmRecord, var heardAt: Long, var refusedHeartbeat: Long? = null) {
        /** Latest time at which something was learned of the VM: a newer heartbeat, or that it refused a connection. */
        var learnedAt = heardAt

        /** When the VM was first heard of after a restart; null if it was heard of in one process only. */
        var restartedAt: Long? = null

        fun isLive(now: Long, timeoutMillis: Double): Boolean =
            now - heardAt < timeoutMillis && refusedHeartbeat != record.heartbeat
    }

    /** Order of the [members] for one quota. */
    private class QuotaOrder(val members: List<String>, val names: List<String>)

    private val known = LinkedHashMap<String, Known>()

    /** Orders are asked for many times a second and change only with the members. */
    private val quotaOrders = LruMap<String, QuotaOrder>(MAX_QUOTA_ORDERS)
    private var own = self

    /** The record of this VM. */
    val self: VmRecord @Synchronized get() = own

    /** Advances the heartbeat of this VM and sets its readiness and its [tokens] at each replica. */
    @Synchronized
    fun heartbeat(ready: Boolean, tokens: Map<String, Long> = emptyMap()) {
        own = own.copy(heartbeat = own.heartbeat + 1, ready = ready, tokens = tokens)
    }

    /** Sum of the tokens of the other live VMs at each replica. */
    @Synchronized
    fun remoteTokens(): Map<String, Long> =
        live().flatMap { it.tokens.entries }.groupingBy { it.key }.fold(0L) { sum, entry -> sum + entry.value }

    /** Merges [records] that are newer than the known ones. */
    @Synchronized
    fun merge(records: Collection<VmRecord>) {
        val now = clock.millis()
        for (record in records) {
            if (record.name == own.name) continue
            val held = known[record.name]
            if (held == null) {
                known[record.name] = Known(record, now)
            } else if (record.newerThan(held.record)) {
                // A record from the store does not tell the start.
                if (held.record.startedAt in 1 until record.startedAt) held.restartedAt = now
                held.record = record
                held.heardAt = now
                held.learnedAt = now
            }
        }
    }

    /** Marks VM [name], which refused a connection, as not live until its heartbeat advances. */
    @Synchronized
    fun connectionRefused(name: String) {
        known[name]?.let {
            it.refusedHeartbeat = it.record.heartbeat
            it.learnedAt = clock.millis()
        }
    }

    /** Record of VM [name], or null if it is not known. */
    @Synchronized
    fun record(name: String): VmRecord? = known[name]?.record

    /**
     * Whether too little was learned of the other VMs within [ISOLATION_MILLIS] to exclude that they drop this one from
     * the [quotaMembers]. Shorter than [QUOTA_TIMEOUT_MILLIS], so that this VM notices it first.
     */
    val quotaIsolated: Boolean
        @Synchronized get() {
            val now = clock.millis()
            return known.size > 1 && known.values.count { now - it.learnedAt < ISOLATION_MILLIS } * 2 < known.size
        }

    /** Number of VMs that this one knows, itself included. */
    val size: Int @Synchronized get() = known.size + 1

    /**
     * Factor on the gossip interval, relative to a small fleet. Messages grow with the number of VMs, so they are sent
     * less often; the nearest VMs still update each other with each request.
     */
    val exchangeIntervalFactor: Double
        @Synchronized get() = (known.size.toDouble() / SMALL_FLEET_VMS).coerceIn(1.0, MAX_INTERVAL_FACTOR)

    private val heartbeatTimeoutMillis: Double get() = HEARTBEAT_TIMEOUT_MILLIS * (1 + exchangeIntervalFactor) / 2

    /** VMs that have restarted or ceased to be [live] within the last [LOST_MILLIS], the latest first. */
    val lost: List<VmRecord>
        @Synchronized get() {
            val now = clock.millis()
            return known.values
                .associateWith { if (it.isLive(now, heartbeatTimeoutMillis)) it.restartedAt else it.heardAt }
                .filterValues { it != null && now - it < LOST_MILLIS }
                .entries.sortedByDescending { it.value }
                .map { it.key.record }
        }

    /** This VM and the live ones that are [eligible], in an order that differs by [name] (rendezvous hashing). */
    fun ordered(name: String, eligible: (VmRecord) -> Boolean = { true }): List<VmRecord> =
        (live().filter(eligible) + self).sortedBy { "$name/${it.name}".hashCode() * HASH_MULTIPLIER }

    /** Records of all VMs, this one first. */
    @Synchronized
    fun all(): List<VmRecord> = listOf(own) + known.values.map { it.record }

    /** VMs other than this one whose heartbeat advanced within [HEARTBEAT_TIMEOUT_MILLIS], scaled by the interval. */
    @Synchronized
    fun live(): List<VmRecord> {
        val now = clock.millis()
        return known.values.filter { it.isLive(now, heartbeatTimeoutMillis) }.map { it.record }
    }

    /**
     * Names of the VMs that share quotas: this one and all whose heartbeat advanced within [QUOTA_TIMEOUT_MILLIS], or
     * that are known to be down, for which [QuotaHolders] finds substitutes. If most have timed out,
     * this VM is probably partitioned and the others still use their shares; then all count.
     */
    @Synchronized
    fun quotaMembers(): List<String> {
        val now = clock.millis()
        val heard = known.filterValues { now - it.learnedAt < QUOTA_TIMEOUT_MILLIS }.keys
        return listOf(own.name) + if (heard.size * 2 >= known.size) heard else known.keys
    }

    /**
     * Names of the VMs that hold shares of the quota [name]: [count] of the [quotaMembers], the same on each VM with
     * the same view (rendezvous hashing). With more than [MAX_QUOTA_HOLDERS] a share would be smaller than one request.
     */
    @Synchronized
    fun quotaHolders(name: String, count: Int = MAX_QUOTA_HOLDERS): List<String> {
        val members = quotaMembers()
        val order =
            quotaOrders[name]?.takeIf { it.members == members }
                ?: QuotaOrder(members, members.sortedBy { "$name/$it".hashCode() * HASH_MULTIPLIER })
                    .also { quotaOrders[name] = it }
        return order.names.take(count)
    }

    private companion object {
        /** More than the workspaces of a VM at a time; an order of 1,500 names takes some kilobytes. */
        const val MAX_QUOTA_ORDERS = 64

        /** A heartbeat spreads within about two exchanges of 500 ms each; the timeout is about twice that. */
        const val HEARTBEAT_TIMEOUT_MILLIS = 2_500L

        /** Longer than callers return with requests that they sent to a VM. */
        const val LOST_MILLIS = ServiceVersions.MEMORY_MILLIS

        /** Records of this many VMs fit into a few kilobytes. */
        const val SMALL_FLEET_VMS = 24

        /** Keeps exchanges at most about a second apart, so that a failed VM is detected within about 5 s. */
        const val MAX_INTERVAL_FACTOR = 3.5

        /** Longer than a restart or a typical partition, so that these do not change the shares. */
        const val QUOTA_TIMEOUT_MILLIS = 20_000L

        /** Leaves 8 s until the others drop this VM: the gossip of a large fleet takes up to 5 s. */
        const val ISOLATION_MILLIS = 12_000L

        /** An eighth of the smallest current workspace quota still holds a few requests. */
        const val MAX_QUOTA_HOLDERS = QuotaHolders.MAX_HOLDERS

        /** Fibonacci hashing multiplier, which spreads the hash codes of similar names. */
        const val HASH_MULTIPLIER = -1_640_531_527
    }
}
