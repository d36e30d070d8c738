package fireflyhinge.peer

/**
 * State of one ticket as its holder reports it. A cell owner that does not know the ticket adopts it from this report.
 *
 * @property generatedTokens tokens streamed so far.
 * @property prefillDone whether the prefill has ended.
 * @property cachedTokens tokens that the prefill took from the cache, or null while unknown.
 * @property prefillMillis time from the placement to the end of the prefill by the holder's clock; null while unknown.
 * @property released true once the request holds nothing at its replicas.
 */
data class TicketUpdate(
    val ticket: String,
    val request: PlaceRequest,
    val prefillReplica: String,
    val decodeReplica: String,
    val generatedTokens: Int = 0,
    val prefillDone: Boolean = false,
    val cachedTokens: Int? = null,
    val prefillMillis: Long? = null,
    val released: Boolean = false,
)
