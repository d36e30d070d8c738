package fireflyhinge.membership

/** Fraction of a sender's uptime that the receiver counts, since the clocks of both may drift by 1 %. */
private const val DRIFT_FACTOR = 0.98

/** Time at which the process of [member] was certainly already running, if its entry arrived at [now]. */
internal fun startOf(member: Member, now: Long): Long = now - (member.uptimeMillis * DRIFT_FACTOR).toLong()

/** The entry [member] of this table, with the uptime at [now], for sending. */
internal fun MemberTable.outgoing(member: Member, now: Long): Member =
    member.copy(uptimeMillis = startedBy(member.id)?.let { now - it } ?: 0)
