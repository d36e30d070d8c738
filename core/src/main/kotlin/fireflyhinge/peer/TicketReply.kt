package fireflyhinge.peer

/**
 * Answer to a [TicketBatch].
 *
 * @property acting whether this daemon owns the cell; if not, nothing was renewed.
 * @property owner VM that it believes to be the owner when it is not acting itself.
 * @property lapsed tickets of the batch that had expired; their holder must stop using them.
 * @property unknown renewals of tickets that this owner does not know; their holder sends them in full.
 */
data class TicketReply(
    val acting: Boolean,
    val owner: String? = null,
    val lapsed: Set<String> = emptySet(),
    val unknown: Set<String> = emptySet(),
)
