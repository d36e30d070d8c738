package fireflyhinge.engine

/**
 * How far an engine got with an order that it accepted.
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
