package fireflyhinge.daemon.membership

import fireflyhinge.address.AddressResponse
import fireflyhinge.address.AddressSelector
import fireflyhinge.membership.Membership
import kotlin.random.Random

/** Logic of `GET /v1/addresses`. */
class AddressEndpoint(
    private val membership: Membership,
    private val ttlSeconds: Double,
    private val random: Random = Random.Default,
) {
    /** Addresses for a caller in [failureDomain]; null if it named none. */
    fun answer(failureDomain: String?): AddressResponse =
        AddressSelector.select(membership.members(), failureDomain, random, ttlSeconds)
}
