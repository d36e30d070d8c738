package fireflyhinge.peer

/**
 * Reply to a [TicketBatch].
 *
 * @property acting whether this daemon owns the cell; if not, nothing was renewed.
 * @property owner VM that this daemon assumes to be the owner if it is not the owner itself.
 * @property lapsed tickets of the batch that have expired; their holder must stop using them.
 * @property unknown renewed tickets that this owner does not know; their holder must send them as updates.
 */
data class TicketReply(
    val acting: Boolean,
    val owner: String? = null,
    val lapsed: Set<String> = emptySet(),
    val unknown: Set<String> = emptySet(),
)
