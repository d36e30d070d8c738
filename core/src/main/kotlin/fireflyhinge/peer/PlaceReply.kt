package fireflyhinge.peer

import com.fasterxml.jackson.annotation.JsonTypeInfo

/** Reply of a cell owner. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
sealed interface PlaceReply {
    /** A slot is reserved under [ticket], which expires unless it is renewed every second. */
    data class Placed(
        val ticket: String,
        val epoch: Long,
        val prefillReplica: String,
        val prefillAddress: String,
        val decodeReplica: String,
        val decodeAddress: String,
    ) : PlaceReply

    /** Not placed: no capacity became available in time. */
    data class Refused(val reason: String, val retryAfterMillis: Long) : PlaceReply

    /** Still queued: the requester keeps its position in the queue if it asks again within a second. */
    data class Waiting(val queued: Boolean = true) : PlaceReply

    /** This daemon does not own the cell. */
    data class NotOwner(val owner: String?) : PlaceReply
}
