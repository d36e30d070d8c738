package fireflyhinge.gateway.fleet

import fireflyhinge.forward.OrderClaim

/** What the platform's store says about the right to give orders. */
sealed interface ClaimAnswer {
    /** The store holds [claim], or no claim if it is null. */
    data class Held(val claim: OrderClaim?) : ClaimAnswer

    /** The store did not answer, or not usefully; a write may have happened all the same. */
    data class Unavailable(val reason: String) : ClaimAnswer
}
