package fireflyhinge.forward

/**
 * The entry in the platform's store that says which VM gave orders last.
 *
 * @property holder name of that VM's process.
 * @property revision store revision of the entry; it is the fencing token of the orders.
 */
data class OrderClaim(val holder: String, val revision: Long)
