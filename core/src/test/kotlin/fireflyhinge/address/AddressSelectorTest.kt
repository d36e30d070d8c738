package fireflyhinge.address

import fireflyhinge.membership.Member
import fireflyhinge.membership.MemberState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class AddressSelectorTest {
    private val random = Random(7)

    /** Guards against sending callers to a VM that cannot accept their requests. */
    @Test
    fun excludesVmsThatAcceptNoRequests() {
        val members =
            MemberState.entries.map { vm(it.name, state = it) } + vm("isolated").copy(isolated = true)
        repeat(50) { assertEquals(listOf("LIVE"), select(members, "north").map { it.vm }) }
        assertEquals(emptyList<CallerAddress>(), select(members.filter { it.state != MemberState.LIVE }, null))
    }

    /**
     * Guards against traffic that leaves the caller's failure domain needlessly, and against a caller without an
     * address outside its failure domain.
     */
    @Test
    fun prefersTheFailureDomainAndKeepsOneAddressOutsideIt() {
        val members = (1..4).map { vm("n$it") } + vm("s1", domain = "south") + vm("w1", domain = "west", region = "b")
        repeat(50) {
            assertEquals(listOf("north", "north", "south"), select(members, "north").map { it.failureDomain })
            assertEquals(listOf("west", "north", "north").first(), select(members, "west").first().failureDomain)
        }
    }

    /** Guards against weights that ignore load: a VM with three times the mean has a quarter of the weight. */
    @Test
    fun busyVmsAreListedFirstLessOften() {
        val members = listOf(vm("busy", open = 30), vm("idle1", open = 0), vm("idle2", open = 0))
        val draws = 20_000
        val busy = (1..draws).count { select(members, null).first().vm == "busy" }
        assertEquals(0.25 / 2.25, busy.toDouble() / draws, 0.01)
    }

    /** Guards against callers that all refresh their addresses at the same time. */
    @Test
    fun ttlIsSpreadAroundTenSeconds() {
        val ttls = (1..1000).map { AddressSelector.select(listOf(vm("a")), null, random).ttlSeconds }
        assertTrue(ttls.all { it in 8.0..12.0 })
        assertTrue(ttls.max() - ttls.min() > 3.5)
    }

    private fun select(members: List<Member>, domain: String?) =
        AddressSelector.select(members, domain, random).addresses

    private fun vm(
        id: String,
        state: MemberState = MemberState.LIVE,
        domain: String = "north",
        region: String = "a",
        open: Int = 0,
    ) = Member(
        id = id,
        region = region,
        failureDomain = domain,
        callerAddress = "$id:1",
        controlAddress = "$id:2",
        incarnation = 1,
        heartbeat = 1,
        state = state,
        openRequests = open,
    )
}
