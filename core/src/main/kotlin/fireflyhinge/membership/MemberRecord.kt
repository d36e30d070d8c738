package fireflyhinge.membership

/**
 * The state of another VM as this daemon knows it. Times are milliseconds of the monotonic clock.
 *
 * @property heardAt time of the last sign of life from the VM, received directly or relayed by another daemon.
 * @property failedAt time of the last failed attempt to reach the VM, by this daemon or one that reported it, or null.
 * @property failures number of failed attempts since [heardAt].
 * @property triedAt time of the last attempt of this daemon to reach the VM, or null.
 * @property startedBy time at which its process was certainly already running.
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
     * Whether the VM counts as unresponsive: no sign of life for [HEALTH_LIMIT_MILLIS] and [FAILURES_NEEDED] failed
     * attempts since the last one. A missing heartbeat alone proves nothing where heartbeats do not spread to all VMs,
     * and a few attempts may be lost.
     */
    fun unresponsive(now: Long): Boolean =
        member.incarnation == 0L || (now - heardAt >= HEALTH_LIMIT_MILLIS && failures >= FAILURES_NEEDED)

    /** The record after a sign of life at [at]. Earlier failures no longer count. */
    fun withSignOfLife(at: Long): MemberRecord =
        copy(heardAt = maxOf(heardAt, at), failures = if (failedAt != null && failedAt < at) 0 else failures)

    /** The record after [count] further failed attempts, the last one at [at]. */
    fun withFailure(at: Long, count: Int): MemberRecord =
        if (at < heardAt) this else copy(failedAt = maxOf(failedAt ?: at, at), failures = failures + count)

    fun heardWithin(limit: Long, now: Long): Boolean = member.incarnation != 0L && now - heardAt < limit

    fun triedWithin(limit: Long, now: Long): Boolean = triedAt != null && now - triedAt < limit

    companion object {
        /** Time without a sign of life after which an unreachable VM gets no new requests. */
        const val HEALTH_LIMIT_MILLIS = 3_000L

        /** Number of failed attempts after which a VM without a sign of life counts as unresponsive. */
        const val FAILURES_NEEDED = 3
    }
}
