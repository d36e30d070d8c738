package fireflyhinge.membership

/**
 * Detects when this VM must assume that it misses configuration changes. It is isolated from its start, and when it has
 * neither reached the store nor received a sign of life from at least half of the other members for 10 s. Isolation
 * ends with a read of the configuration that starts after that. Contact alone does not end it, because gossip may
 * arrive before the missed changes. Times are milliseconds of the monotonic clock. Not thread-safe.
 */
class IsolationDetector(private val table: MemberTable, startedAt: Long) {
    private var storeReachedAt = startedAt
    private var missingSince: Long? = startedAt - 1
    private var checkedAt: Long? = null
    private val comparedPeers = mutableSetOf<String>()

    /** The store responded to a call. */
    fun onStoreReached(now: Long) {
        storeReachedAt = maxOf(storeReachedAt, now)
    }

    /** Whether this VM must assume that it misses changes. This is always true for a fenced VM. */
    fun isolated(now: Long): Boolean {
        check(now)
        return missingSince != null || table.provenDead(table.self.id, table.self.incarnation)
    }

    /**
     * Detects a loss of contact. It must run before received messages are applied: after a pause of the process, queued
     * messages would hide that contact was lost.
     */
    fun check(now: Long) {
        if (checkedAt?.let { now - it < CHECK_MILLIS } == true) return
        checkedAt = now
        if (now - storeReachedAt < LIMIT_MILLIS || hasPeerContact(now)) return
        missingSince = now
        comparedPeers.clear()
    }

    /** The complete configuration was read from the store, starting at [startedAt]. */
    fun onStoreRead(startedAt: Long) {
        if (isAfterLoss(startedAt)) missingSince = null
    }

    /**
     * A comparison with [peer] that started at [startedAt] left no difference. Peers that are not [current] count once
     * they are half of the other members: that many also count as contact, and after a partition of all VMs no peer is
     * current.
     */
    fun onCompared(peer: String, current: Boolean, startedAt: Long, now: Long) {
        if (!isAfterLoss(startedAt)) return
        if (peer in table.records) comparedPeers += peer
        val half = comparedPeers.isNotEmpty() && 2 * comparedPeers.size >= sample(now).size
        if (current || half) missingSince = null
    }

    /** Whether at least half of the other members sent a sign of life in the last 10 s. True without other members. */
    fun hasPeerContact(now: Long): Boolean =
        sample(now).let { sample -> 2 * sample.count { it.heardWithin(LIMIT_MILLIS, now) } >= sample.size }

    /** A read that started before the loss of contact may lack later changes. */
    private fun isAfterLoss(startedAt: Long) = missingSince.let { it != null && startedAt > it }

    /** A large fleet does not spread each heartbeat to all VMs, so only recently contacted members count there. */
    private fun sample(now: Long): List<MemberRecord> {
        val others = table.records.values.filterNot { table.provenDead(it.member.id, it.member.incarnation) }
        return others.filter {
            others.size < MemberTable.FULL_LIMIT ||
                it.triedWithin(LIMIT_MILLIS, now) || it.heardWithin(LIMIT_MILLIS, now)
        }
    }

    private companion object {
        const val LIMIT_MILLIS = 10_000L

        /** The check scans all members, up to 1,500, so it does not run for every message. */
        const val CHECK_MILLIS = 500L
    }
}
