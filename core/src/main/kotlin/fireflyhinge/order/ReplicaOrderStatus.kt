package fireflyhinge.order

import fireflyhinge.config.UpstreamRole

/**
 * Desired and reported state of a replica as the owner of its cell sees them.
 *
 * @property owner VM that gives the orders.
 * @property order the current order as `action argument`, or null if there is none.
 * @property token fencing token of [order].
 * @property lastRefusal the last order that was refused or failed, with the reason, or null if there is none.
 * @property refusalAgeMillis time since [lastRefusal].
 */
data class ReplicaOrderStatus(
    val upstream: String,
    val phase: OrderPhase,
    val desired: State,
    val reported: State?,
    val owner: String = "",
    val order: String? = null,
    val token: Long? = null,
    val lastRefusal: String? = null,
    val refusalAgeMillis: Long? = null,
) {
    /** State of an engine. A property is null if it is not configured or not reported. */
    data class State(
        val role: UpstreamRole?,
        val models: List<String>?,
        val adapters: List<String>?,
        val modelVersion: String?,
    )
}
