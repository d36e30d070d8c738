package fireflyhinge.membership

import com.fasterxml.jackson.annotation.JsonFormat
import com.fasterxml.jackson.annotation.JsonPropertyOrder

/**
 * The part of a member that changes while its process runs. It is encoded as an array to keep gossip small.
 *
 * @property state [MemberState.UNRESPONSIVE] states that the sender has no answer from the VM since [heartbeat]; the
 *   other states are those that the VM gave itself.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder("id", "incarnation", "heartbeat", "state", "isolated", "openRequests")
data class Beat(
    val id: String,
    val incarnation: Long,
    val heartbeat: Long,
    val state: MemberState = MemberState.LIVE,
    val isolated: Boolean = false,
    val openRequests: Int = 0,
) {
    internal fun isNewerThan(member: Member): Boolean =
        incarnation > member.incarnation || (incarnation == member.incarnation && heartbeat > member.heartbeat)
}

/** The changing part of this member, in the [state] that the sender sees. */
internal fun Member.beat(state: MemberState = this.state): Beat =
    Beat(id, incarnation, heartbeat, state, isolated, openRequests)
