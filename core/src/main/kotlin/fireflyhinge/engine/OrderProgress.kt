package fireflyhinge.engine

/**
 * Progress of an order that an engine accepted.
 *
 * @property reason why the order failed; empty otherwise.
 */
data class OrderProgress(
    val fence: Long,
    val action: String,
    val argument: String,
    val state: OrderState,
    val reason: String = "",
)
