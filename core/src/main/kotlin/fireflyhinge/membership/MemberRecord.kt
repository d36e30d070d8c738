package fireflyhinge.membership

/**
 * What this daemon knows about another VM. Times are milliseconds of the monotonic clock.
 *
 * @property newsAt when a newer heartbeat or a direct message last arrived.
 * @property directAt when the VM last sent a message or an answer to this daemon, or null.
 * @property failedAt when a message to the VM last failed, or null.
 * @property suspectedAt heartbeat after which another member reported no answer, or null.
 * @property triedAt when this daemon last tried to reach it, or null.
 */
internal data class MemberRecord(
    val member: Member,
    val newsAt: Long,
    val directAt: Long? = null,
    val failedAt: Long? = null,
    val suspectedAt: Long? = null,
    val triedAt: Long? = null,
) {
    /**
     * Whether the VM counts as unresponsive: no news for the limit, and an own or a reported attempt to reach it has
     * failed since. Silence alone proves nothing where heartbeats are not spread to everyone.
     */
    fun unresponsive(now: Long): Boolean {
        if (member.incarnation == 0L) return true
        val failed = failedAt != null && failedAt >= newsAt
        val suspected = suspectedAt != null && suspectedAt >= member.heartbeat
        return now - newsAt >= HEALTH_LIMIT_MILLIS && (failed || suspected)
    }

    fun heardWithin(limit: Long, now: Long): Boolean = member.incarnation != 0L && now - newsAt < limit

    fun triedWithin(limit: Long, now: Long): Boolean = triedAt != null && now - triedAt < limit

    companion object {
        /** Time without news after which a VM that does not answer gets no new requests. */
        const val HEALTH_LIMIT_MILLIS = 3_000L
    }
}
