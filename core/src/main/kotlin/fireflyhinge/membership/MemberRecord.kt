package fireflyhinge.membership

/**
 * What this daemon knows about another VM. Times are milliseconds of the monotonic clock.
 *
 * @property heardAt when the VM last gave a sign of life, to this daemon or to one that passed it on.
 * @property failedAt when an attempt to reach it last failed, here or at a daemon that reported it, or null.
 * @property failures attempts that failed since [heardAt].
 * @property triedAt when this daemon last tried to reach it, or null.
 * @property startedBy when its process was certainly running already.
 */
internal data class MemberRecord(
    val member: Member,
    val heardAt: Long,
    val failedAt: Long? = null,
    val failures: Int = 0,
    val triedAt: Long? = null,
    val startedBy: Long = heardAt,
) {
    /**
     * Whether the VM counts as unresponsive: no news for the limit, and three attempts to reach it have failed since.
     * Silence alone proves nothing where heartbeats are not spread to everyone, and a few attempts may be lost.
     */
    fun unresponsive(now: Long): Boolean =
        member.incarnation == 0L || (now - heardAt >= HEALTH_LIMIT_MILLIS && failures >= FAILURES_NEEDED)

    /** With a sign of life at [at]; failures before it no longer count. */
    fun withSignOfLife(at: Long): MemberRecord =
        copy(heardAt = maxOf(heardAt, at), failures = if (failedAt != null && failedAt < at) 0 else failures)

    /** With [count] further failed attempts, the last one at [at]. */
    fun withFailure(at: Long, count: Int): MemberRecord =
        if (at < heardAt) this else copy(failedAt = maxOf(failedAt ?: at, at), failures = failures + count)

    fun heardWithin(limit: Long, now: Long): Boolean = member.incarnation != 0L && now - heardAt < limit

    fun triedWithin(limit: Long, now: Long): Boolean = triedAt != null && now - triedAt < limit

    companion object {
        /** Time without news after which a VM that does not answer gets no new requests. */
        const val HEALTH_LIMIT_MILLIS = 3_000L

        /** Failed attempts that make a silent VM unresponsive. */
        const val FAILURES_NEEDED = 3
    }
}
