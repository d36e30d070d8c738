package fireflyhinge.membership

/**
 * Tells when a VM must assume that it misses changes: for 10 s it has neither reached the store nor heard from at least
 * half of the other members. Times are milliseconds of the monotonic clock. Not thread-safe.
 */
class IsolationRule(private val table: MemberTable, startedAt: Long) {
    private var storeReachedAt = startedAt

    /** The store answered a call. */
    fun onStoreReached(now: Long) {
        storeReachedAt = maxOf(storeReachedAt, now)
    }

    /** Whether this VM must assume that it misses changes; a fenced VM always must. */
    fun isolated(now: Long): Boolean =
        table.provenDead(table.self.id, table.self.incarnation) ||
            (now - storeReachedAt >= LIMIT_MILLIS && !heardEnough(now))

    /** Whether at least half of the other members were heard from lately. Without other members it is true. */
    fun heardEnough(now: Long): Boolean {
        val others = table.records.values.filterNot { table.provenDead(it.member.id, it.member.incarnation) }
        // A large fleet does not spread every heartbeat to everyone; there the VMs tried lately are the sample.
        val sample =
            others.filter {
                others.size < MemberTable.FULL_LIMIT ||
                    it.triedWithin(LIMIT_MILLIS, now) || it.heardWithin(LIMIT_MILLIS, now)
            }
        return 2 * sample.count { it.heardWithin(LIMIT_MILLIS, now) } >= sample.size
    }

    private companion object {
        const val LIMIT_MILLIS = 10_000L
    }
}
