package fireflyhinge.gateway.fleet

import fireflyhinge.forward.OrderClaim

/** The entry in the platform's store that says which VM may give orders to replicas. */
interface ClaimStore {
    /** The claim of the VM that gave orders last. */
    suspend fun orderClaim(): ClaimAnswer

    /** Claims the right to give orders for [holder] if the claim is still [over]. Returns the claim that holds then. */
    suspend fun claimOrders(holder: String, over: OrderClaim?): ClaimAnswer
}
