package fireflyhinge.forward

/**
 * Capacity of [replica] that the queue assumes to be free, offered to [request] until it is reserved or refused.
 *
 * @property number distinguishes offers, so that a late or duplicate result does not settle a newer one.
 */
data class CapacityOffer(val number: Long, val request: QueuedRequest, val replica: String, val expiresMillis: Long)
