package fireflyhinge.membership

import com.fasterxml.jackson.annotation.JsonFormat
import com.fasterxml.jackson.annotation.JsonPropertyOrder

/**
 * The part of a member that changes while its process runs. It is encoded as an array to keep gossip small.
 *
 * @property state [MemberState.UNRESPONSIVE] reports that attempts to reach the VM have failed; the other states are
 *   those that the VM gave itself.
 * @property ageMillis how long ago the sender had the news that it passes on, or how long ago the attempt failed.
 *   Without it a heartbeat that spreads slowly would pass for a sign of life.
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

/** The changing part of the sender's own entry. */
internal fun Member.toHeartbeat(): Heartbeat =
    Heartbeat(id, incarnation, heartbeat, state, isolated, openRequests)

/** What the sender knows about another member. */
internal fun MemberRecord.toHeartbeat(now: Long): Heartbeat =
    if (unresponsive(now)) {
        member.toHeartbeat().copy(state = MemberState.UNRESPONSIVE, ageMillis = now - (failedAt ?: heardAt))
    } else {
        member.toHeartbeat().copy(ageMillis = now - heardAt)
    }
