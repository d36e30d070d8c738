package fireflyhinge.address

import fireflyhinge.membership.Member
import fireflyhinge.membership.MemberState
import kotlin.random.Random

/** Selects the addresses that callers are given. */
object AddressSelector {
    private const val LIMIT = 3
    private const val TTL_SECONDS = 10.0
    private const val TTL_SPREAD = 0.2

    /**
     * Up to three VMs that take new requests: those of the caller's [failureDomain] first, then those of its region,
     * then others. The last place goes to another failure domain where there is one, so that the loss of a whole domain
     * leaves the caller an address. The answer lives for [ttlSeconds] ± 20 %. Within a
     * group the order is random by weight 1 / (1 + open requests / mean).
     */
    fun select(
        members: List<Member>,
        failureDomain: String?,
        random: Random,
        ttlSeconds: Double = TTL_SECONDS,
    ): AddressAnswer {
        val usable = members.filter { it.state == MemberState.LIVE && !it.isolated && it.callerAddress.isNotEmpty() }
        val region = members.find { it.failureDomain == failureDomain }?.region
        val mean = usable.map { it.openRequests }.average().takeIf { it > 0 } ?: 1.0
        // Keys are drawn once per VM: a comparator that draws anew on each comparison gives no defined order.
        val ordered =
            usable
                .map { Triple(it, distance(it, failureDomain, region), key(it, mean, random)) }
                .sortedWith(compareBy({ it.second }, { it.third }))
                .map { it.first }
        return AddressAnswer(
            addresses = spread(ordered).map { CallerAddress(it.callerAddress, it.id, it.failureDomain, it.region) },
            ttlSeconds = ttlSeconds * (1 + TTL_SPREAD * random.nextDouble(from = -1.0, until = 1.0)),
        )
    }

    private fun distance(member: Member, failureDomain: String?, region: String?): Int =
        when {
            failureDomain == null || member.failureDomain == failureDomain -> 0
            member.region == region -> 1
            else -> 2
        }

    /** Exponential variates divided by weights sort into a weighted random order (Efraimidis and Spirakis). */
    private fun key(member: Member, mean: Double, random: Random): Double =
        -Math.log(1 - random.nextDouble()) * (1 + member.openRequests / mean)

    private fun spread(ordered: List<Member>): List<Member> {
        val first = ordered.take(LIMIT)
        if (first.size < LIMIT || first.map { it.failureDomain }.distinct().size > 1) return first
        val other = ordered.drop(LIMIT).find { it.failureDomain != first.first().failureDomain } ?: return first
        return first.dropLast(1) + other
    }
}
