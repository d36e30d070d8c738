package fireflyhinge.membership

/**
 * Tells when a VM must assume that it misses changes: from its start, and whenever it has neither reached the store nor
 * heard from at least half of the other members for 10 s, until it has read the configuration after that. Contact alone
 * does not end it, because gossip may arrive before the changes that were missed. Times are milliseconds of the
 * monotonic clock. Not thread-safe.
 */
class IsolationDetector(private val table: MemberTable, startedAt: Long) {
    private var storeReachedAt = startedAt
    private var missingSince: Long? = startedAt - 1
    private var checkedAt: Long? = null
    private val compared = mutableSetOf<String>()

    /** The store answered a call. */
    fun onStoreReached(now: Long) {
        storeReachedAt = maxOf(storeReachedAt, now)
    }

    /** Whether this VM must assume that it misses changes; a fenced VM always must. */
    fun isolated(now: Long): Boolean {
        check(now)
        return missingSince != null || table.provenDead(table.self.id, table.self.incarnation)
    }

    /**
     * Notices a loss of contact. It must run before news is taken over: after a pause the news that waited would hide
     * that contact was lost.
     */
    fun check(now: Long) {
        if (checkedAt?.let { now - it < CHECK_MILLIS } == true) return
        checkedAt = now
        if (now - storeReachedAt < LIMIT_MILLIS || hasPeerContact(now)) return
        missingSince = now
        compared.clear()
    }

    /** The whole configuration was read from the store, from [began] on. */
    fun onStoreRead(began: Long) {
        if (isAfterLoss(began)) missingSince = null
    }

    /**
     * A comparison with [peer], from [began] on, left no difference. Peers that are not [current] count once they are
     * half of the others: so many also count as contact, and after a partition of all VMs nobody is current.
     */
    fun onCompared(peer: String, current: Boolean, began: Long, now: Long) {
        if (!isAfterLoss(began)) return
        if (peer in table.records) compared += peer
        val half = compared.isNotEmpty() && 2 * compared.size >= sample(now).size
        if (current || half) missingSince = null
    }

    /** Whether at least half of the other members were heard from lately. Without other members it is true. */
    fun hasPeerContact(now: Long): Boolean =
        sample(now).let { sample -> 2 * sample.count { it.heardWithin(LIMIT_MILLIS, now) } >= sample.size }

    /** A read that began before the contact was lost may lack what changed since. */
    private fun isAfterLoss(began: Long) = missingSince.let { it != null && began > it }

    /** A large fleet does not spread every heartbeat to everyone; there the VMs tried lately stand for the others. */
    private fun sample(now: Long): List<MemberRecord> {
        val others = table.records.values.filterNot { table.provenDead(it.member.id, it.member.incarnation) }
        return others.filter {
            others.size < MemberTable.FULL_LIMIT ||
                it.triedWithin(LIMIT_MILLIS, now) || it.heardWithin(LIMIT_MILLIS, now)
        }
    }

    private companion object {
        const val LIMIT_MILLIS = 10_000L

        /** The check looks at all members, up to 1,500, so it does not run with every message. */
        const val CHECK_MILLIS = 500L
    }
}
