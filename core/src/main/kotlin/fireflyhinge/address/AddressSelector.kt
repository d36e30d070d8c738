package fireflyhinge.address

import fireflyhinge.membership.Member
import fireflyhinge.membership.MemberState
import kotlin.random.Random

/** Selects the addresses that are returned to callers. */
object AddressSelector {
    private const val MAX_ADDRESSES = 3
    private const val TTL_SECONDS = 10.0
    private const val TTL_SPREAD = 0.2

    /**
     * Returns up to three VMs that accept new requests: those of the caller's [failureDomain] first, then those of its
     * region, then others. The last entry is in another failure domain if there is one, so that the caller still has an
     * address after the loss of a whole domain. Within a group the order is random with weight 1 / (1 + open requests /
     * mean). The response is valid for [ttlSeconds] ± 20 %, so that callers do not all refresh at the same time.
     */
    fun select(
        members: List<Member>,
        failureDomain: String?,
        random: Random,
        ttlSeconds: Double = TTL_SECONDS,
    ): AddressResponse {
        val usable = members.filter { it.state == MemberState.LIVE && !it.isolated && it.callerAddress.isNotEmpty() }
        val region = members.find { it.failureDomain == failureDomain }?.region
        val mean = usable.map { it.openRequests }.average().takeIf { it > 0 } ?: 1.0
        // The sort key is drawn once per VM: a comparator that draws one for each comparison has no defined order.
        val ordered =
            usable
                .map { Triple(it, distance(it, failureDomain, region), sortKey(it, mean, random)) }
                .sortedWith(compareBy({ it.second }, { it.third }))
                .map { it.first }
        return AddressResponse(
            addresses =
            includeOtherDomain(ordered).map { CallerAddress(it.callerAddress, it.id, it.failureDomain, it.region) },
            ttlSeconds = ttlSeconds * (1 + TTL_SPREAD * random.nextDouble(from = -1.0, until = 1.0)),
        )
    }

    private fun distance(member: Member, failureDomain: String?, region: String?): Int =
        when {
            failureDomain == null || member.failureDomain == failureDomain -> 0
            member.region == region -> 1
            else -> 2
        }

    /** Sort key for a weighted random order: an exponential variate divided by the weight (Efraimidis and Spirakis). */
    private fun sortKey(member: Member, mean: Double, random: Random): Double =
        -Math.log(1 - random.nextDouble()) * (1 + member.openRequests / mean)

    private fun includeOtherDomain(ordered: List<Member>): List<Member> {
        val first = ordered.take(MAX_ADDRESSES)
        if (first.size < MAX_ADDRESSES || first.map { it.failureDomain }.distinct().size > 1) return first
        val other = ordered.drop(MAX_ADDRESSES).find { it.failureDomain != first.first().failureDomain } ?: return first
        return first.dropLast(1) + other
    }
}
