package fireflyhinge.membership

/** Share of a sender's uptime that counts at the receiver, since the clocks of both may drift by 1 %. */
private const val DRIFT_FACTOR = 0.98

/** When the process of [member] was certainly running already, if its entry arrived at [now]. */
internal fun startOf(member: Member, now: Long): Long = now - (member.uptimeMillis * DRIFT_FACTOR).toLong()

/** The entry [member] of this table as it is sent at [now]. */
internal fun MemberTable.outgoing(member: Member, now: Long): Member =
    member.copy(uptimeMillis = startedBy(member.id)?.let { now - it } ?: 0)
