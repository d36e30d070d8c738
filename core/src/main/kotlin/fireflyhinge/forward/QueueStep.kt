package fireflyhinge.forward

/** What a [CapacityQueue] decided at a point in time: new [offers], and the requests that [expired]. */
data class QueueStep(val offers: List<CapacityOffer>, val expired: List<QueuedRequest>)
