package fireflyhinge.peer

/**
 * State of one ticket as reported by its holder. A cell owner that does not know the ticket adds it from this report.
 *
 * @property generatedTokens number of tokens streamed so far.
 * @property prefillDone whether the prefill has ended.
 * @property cachedTokens prompt tokens that the prefill found in the cache, or null while unknown.
 * @property prefillMillis time from the placement to the end of the prefill by the holder's clock; null while unknown.
 * @property released true if the request no longer holds resources at its replicas.
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
