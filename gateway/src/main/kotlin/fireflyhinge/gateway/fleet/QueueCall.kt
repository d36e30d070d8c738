package fireflyhinge.gateway.fleet

/**
 * Call of a VM whose request waits for capacity. Times are relative, since VMs have different clocks.
 *
 * @property id id of the wait, unique in the fleet.
 * @property tokens expected KV cache size of the request.
 * @property targetMillis time left until the request misses its target; negative if it is late.
 * @property expiresMillis time left until it is refused.
 * @property holdMillis longest time for which the owner holds the call.
 * @property refusedOffer number of the previous offer if its replica refused the reservation.
 */
internal data class QueueCall(
    val queue: QueueName,
    val id: String,
    val workspace: String,
    val weight: Double,
    val tokens: Int,
    val waitedMillis: Long,
    val targetMillis: Long,
    val expiresMillis: Long,
    val holdMillis: Long,
    val avoid: Set<String>,
    val refusedOffer: Long? = null,
)
