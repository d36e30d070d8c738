package fireflyhinge.membership

import com.fasterxml.jackson.annotation.JsonFormat
import com.fasterxml.jackson.annotation.JsonPropertyOrder

/**
 * The part of a member's entry that changes while its process runs. It is encoded as a JSON array to keep gossip small.
 *
 * @property heartbeat counter that the VM raises; see [Member.heartbeat].
 * @property state [MemberState.UNRESPONSIVE] if attempts to reach the VM have failed, otherwise the state that the VM
 * announced itself.
 * @property ageMillis time since the sender received the information that it relays, or since the attempt failed.
 * Without it a heartbeat that spreads slowly would count as a recent sign of life.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder("id", "incarnation", "heartbeat", "state", "isolated", "openRequests", "ageMillis")
data class Heartbeat(
    val id: String,
    val incarnation: Long,
    val heartbeat: Long,
    val state: MemberState = MemberState.LIVE,
    val isolated: Boolean = false,
    val openRequests: Int = 0,
    val ageMillis: Long = 0,
) {
    internal fun isNewerThan(member: Member): Boolean =
        incarnation > member.incarnation || (incarnation == member.incarnation && heartbeat > member.heartbeat)
}

/** The heartbeat of this process itself. */
internal fun Member.toHeartbeat(): Heartbeat =
    Heartbeat(id, incarnation, heartbeat, state, isolated, openRequests)

/** The heartbeat of another member, as known at [now]. */
internal fun MemberRecord.toHeartbeat(now: Long): Heartbeat =
    if (unresponsive(now)) {
        member.toHeartbeat().copy(state = MemberState.UNRESPONSIVE, ageMillis = now - (failedAt ?: heardAt))
    } else {
        member.toHeartbeat().copy(ageMillis = now - heardAt)
    }
